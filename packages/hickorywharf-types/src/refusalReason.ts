/** Why an endpoint process truthfully did not run an attempt. */
export type RefusalReason =
  | 'leaving'
  | 'queueFull'
  | 'cannotFinish'
  | 'tombstoned'
  | 'wrongHome'
  | 'keyOutsideInterval'
  | 'keyForgotten'
  | 'keyInvalid'
  | 'otherHalf'
  | 'backendUnreachable'
  | 'malformed';
