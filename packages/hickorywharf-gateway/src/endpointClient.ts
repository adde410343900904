import type {EndpointRequest} from './endpointRequest.ts';

/** A request that is under way. */
interface Exchange {
  /** Ends the request and its connection; nothing is called after it. */
  abort(): void;
  /** Stops reading until `resume`, for a caller that reads slowly. */
  pause(): void;
  resume(): void;
}

/** Connections to endpoints. */
export interface EndpointClient {
  send(request: EndpointRequest): Exchange;
  close(): void;
}
