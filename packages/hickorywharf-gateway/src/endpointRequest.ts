import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {ReservedConnection} from './reservedConnection.ts';
import type {SendFailure} from './sendFailure.ts';

/** A request to an endpoint, with the handlers of its response. */
export interface EndpointRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /**
   * The id that its response names; null if responses name none. It is sent once
   * on a connection, as an endpoint may send a second response to an earlier
   * request with the same id.
   */
  readonly requestId: string | null;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | string | null;
  /**
   * Whether to bypass the pool. An endpoint may close an idle connection while
   * a request is sent on it, and then it is unknown whether the request ran:
   * requests that can't be retried need a new connection.
   */
  readonly needsNewConnection: boolean;
  /**
   * Whether to use a new connection and close it after the response. An
   * endpoint may send a second response to an earlier request on a connection:
   * only the first response of a connection proves by its place what it answers,
   * so responses that name no request need a connection of their own.
   */
  readonly isExclusive: boolean;
  /** A connection of `reserve` to use, in place of another one. */
  readonly connection?: ReservedConnection | null;
  /**
   * Asked once a new connection is open; if false, nothing is sent. Without it
   * the request is always sent.
   */
  mayStillSend?(): boolean;
  /**
   * `isFirst` is true for the first response of a connection, which can't be a
   * second response to an earlier request.
   */
  onHead(head: ResponseHead, isFirst: boolean): void;
  onData(chunk: Buffer): void;
  /**
   * Called when the response is complete. `isFramed` is false if it had neither
   * a length nor chunks and ended with its connection, as it also does if the
   * endpoint's process ends.
   */
  onEnd(isFramed: boolean): void;
  /** Called at most once, and never after `onEnd`. */
  onFailure(failure: SendFailure): void;
}
