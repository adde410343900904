/** A new connection to an endpoint, on which nothing was sent yet. */
export interface ReservedConnection {
  /** Closes the connection, unless a request was sent on it. */
  release(): void;
}
