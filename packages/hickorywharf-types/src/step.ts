/** The step of a request at which an error arose. */
export type Step =
  | 'receive'
  | 'authenticate'
  | 'admit'
  | 'route'
  | 'claim'
  | 'queue'
  | 'execute'
  | 'stream'
  | 'deliver';
