/** The step of a request at which an error occurred. */
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
