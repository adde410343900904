import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {SendFailure} from './sendFailure.ts';

/** One request to an endpoint. */
export interface EndpointRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer | string | null;
  /** A kept connection may be reset under a send; an action needs a new one. */
  readonly needsNewConnection: boolean;
  onHead(head: ResponseHead): void;
  onData(chunk: Buffer): void;
  /** The whole answer has arrived. */
  onEnd(): void;
  /** Called at most once, and never after `onEnd`. */
  onFailure(failure: SendFailure): void;
}
