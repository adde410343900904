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
  | 'keyClaimed'
  | 'claimUnavailable'
  | 'homeLeft'
  | 'homeUnsettled'
  | 'staleConfiguration'
  | 'otherHalf'
  | 'backendUnreachable'
  | 'malformed';
