/**
 * Why an endpoint process refused an attempt. A refused attempt did not run.
 * The function `createRefusal` has a sentence on each reason.
 */
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
