/** Why a request to an endpoint got no usable response. */
export interface SendFailure {
  /** `unsent`: no byte was sent; `unknown`: the request may have run. */
  readonly tag: 'unsent' | 'unknown';
  readonly message: string;
}
