import type {GatewayCall} from './gatewayCall.ts';

/** What the gateway sets on a request to an endpoint. */
export interface OutgoingCall {
  readonly call: GatewayCall;
  readonly timeLeftMilliseconds: number;
  readonly endpointId: string;
  /** Null for routes without a key. */
  readonly account: string | null;
  /** Handles of the stage results that the endpoint reads. */
  readonly inputs: readonly string[];
  readonly lastEventId: string | null;
  /** The length of the body; null for a request without one. */
  readonly bodyBytes: number | null;
  /** Null to leave the endpoint's default. */
  readonly urgency: number | null;
}
