import type {EndpointRequest} from './endpointRequest.ts';
import type {ReservedConnection} from './reservedConnection.ts';

/** A request in flight. */
interface Exchange {
  /** Closes the connection; no handler of the request is called after it. */
  abort(): void;
  /** Stops reading until `resume`, for backpressure by a slow caller. */
  pause(): void;
  resume(): void;
}

/** An HTTP client for endpoints. */
export interface EndpointClient {
  /** Sends a request; its handlers receive the response or the failure. */
  send(request: EndpointRequest): Exchange;
  /**
   * Opens a connection for one request that may be sent later. Calls back once,
   * unless it is released before: when it is open, or when it failed; a failure
   * may also follow while it is open and was not used.
   */
  reserve(
    address: {readonly host: string; readonly port: number},
    handlers: {onOpen(): void; onFailure(message: string): void},
  ): ReservedConnection;
  /** Closes all connections, including those with a request in flight. */
  close(): void;
}
