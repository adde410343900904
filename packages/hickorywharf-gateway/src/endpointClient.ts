import type {EndpointRequest} from './endpointRequest.ts';

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
  /** Closes all connections, including those with a request in flight. */
  close(): void;
}
