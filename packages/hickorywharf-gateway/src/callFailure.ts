/** Why a call could not go on at an endpoint. */
export type CallFailure =
  /** The last attempt failed, and the call may not run again. */
  | 'attempt'
  | 'noEndpoint'
  /** The rate limits and pauses of the endpoints leave no room. */
  | 'limits'
  /** The budget of retries is used up. */
  | 'budget'
  | 'stages'
  | 'keys'
  /** This instance stops before the call could end. */
  | 'stop'
  | 'quarantine';
