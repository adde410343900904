import type {Outcome} from './outcome.ts';

/** When and where an event was seen. */
interface HistoryStamp {
  readonly process: string;
  readonly monotonicMilliseconds: number;
  readonly wallMilliseconds: number;
}

/**
 * One line of a recorded history. `check-history` verifies the promises on
 * these events; docs/reference/history.md explains each field.
 */
export type HistoryEvent = HistoryStamp &
  (
    | {
        readonly tag: 'requestSent';
        readonly callId: string;
        readonly pipeline: string;
        readonly idempotencyKey: string | null;
        readonly deadlineMilliseconds: number;
        readonly expectedDigest: string;
        readonly expectedTokens: number;
      }
    | {
        readonly tag: 'tokenReceived';
        readonly callId: string;
        readonly position: number;
      }
    | {
        readonly tag: 'outcomeReceived';
        readonly callId: string;
        readonly requestId: string | null;
        /** `connectionLost`: the caller was given no outcome at all. */
        readonly outcome: Outcome | 'connectionLost';
        readonly answerDigest: string | null;
        readonly detail: string;
      }
    | {
        readonly tag: 'requestAccepted';
        readonly requestId: string;
        readonly callId: string | null;
        readonly idempotencyKey: string | null;
      }
    | {
        readonly tag: 'requestFinished';
        readonly requestId: string;
        readonly outcome: Outcome;
      }
    | {
        readonly tag: 'attemptAccepted';
        readonly requestId: string;
        readonly attemptId: string;
        readonly endpoint: string;
      }
    | {readonly tag: 'endpointLeaving'; readonly endpoint: string}
    | {
        readonly tag: 'actionRan';
        readonly idempotencyKey: string;
        readonly requestId: string;
        readonly backend: string;
      }
    | {
        readonly tag: 'orderApplied';
        readonly engine: string;
        readonly holder: string;
        readonly fencingNumber: number;
      }
    | {
        readonly tag: 'configurationAccepted';
        readonly sequence: number;
        readonly operation: string;
      }
    | {
        readonly tag: 'configurationInForce';
        readonly incarnation: string;
        readonly sequence: number;
      }
    | {
        readonly tag: 'processStopped';
        readonly name: string;
        readonly planned: boolean;
      }
  );
