import type {GatewayCall} from './gatewayCall.ts';

/** What the gateway writes into the headers of a request to an endpoint. */
export interface OutgoingCall {
  readonly call: GatewayCall;
  /** Time left until the deadline of the call. */
  readonly timeLeftMilliseconds: number;
  readonly endpointId: string;
  /** Name of the client account; null for routes without a key. */
  readonly account: string | null;
  /** Handles of the stage results that the endpoint reads. */
  readonly inputs: readonly string[];
  /** Id of the event after which a stream resumes; null for a new stream. */
  readonly lastEventId: string | null;
  /** Length of the body; null for a request without a body. */
  readonly bodyBytes: number | null;
  /** 0 is the most urgent; null for the default of the endpoint. */
  readonly urgency: number | null;
}
