/** Why a request to an endpoint has no answer that can be used. */
export interface SendFailure {
  /** `unsent` proves that no byte left; `unknown` proves nothing. */
  readonly tag: 'unsent' | 'unknown';
  readonly message: string;
}
