import type {Outcome} from './outcome.ts';

/** When and where an event was observed. */
interface HistoryStamp {
  readonly process: string;
  /** One run of the process, within which monotonic times are comparable. */
  readonly incarnation: string;
  readonly monotonicMilliseconds: number;
  readonly wallMilliseconds: number;
}

/**
 * One line of a recorded history. `check-history` verifies the guarantees on
 * these events; docs/reference/history.md explains each field.
 */
export type HistoryEvent = HistoryStamp &
  (
    | {
        readonly tag: 'requestSent';
        readonly callId: string;
        readonly pipeline: string;
        readonly idempotencyKey: string | null;
        /** Time from sending to the deadline, as the pipeline states it. */
        readonly deadlineMilliseconds: number;
        readonly isStream: boolean;
        /** Whether the pipeline has a stage that may run only once. */
        readonly hasAction: boolean;
        /** Digest of the correct response. */
        readonly expectedDigest: string;
        readonly expectedTokens: readonly string[];
      }
    | {
        readonly tag: 'tokenReceived';
        readonly callId: string;
        readonly position: number;
        readonly token: string;
      }
    | {
        readonly tag: 'outcomeReceived';
        readonly callId: string;
        readonly requestId: string | null;
        /** `connectionLost`: the caller received no outcome. */
        readonly outcome: Outcome | 'connectionLost';
        /** Digest of the response; null unless the outcome is `answered`. */
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
    | {
        /** The attempt was sent to the backend. */
        readonly tag: 'attemptBegan';
        readonly requestId: string;
        readonly attemptId: string;
        readonly endpoint: string;
      }
    | {
        /** The backend's call ended, successfully or not. */
        readonly tag: 'attemptEnded';
        readonly requestId: string;
        readonly attemptId: string;
        readonly endpoint: string;
      }
    | {
        readonly tag: 'endpointLeaving';
        readonly endpoint: string;
        /**
         * What makes the endpoint leave: its record, which persists across
         * restarts; a stop, which ends with the process; or the platform's
         * list.
         */
        readonly signal: 'record' | 'stop' | 'list';
      }
    | {readonly tag: 'endpointReturned'; readonly endpoint: string}
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
        /** A higher number belongs to a later holder. */
        readonly fencingNumber: number;
      }
    | {
        readonly tag: 'configurationAccepted';
        readonly sequence: number;
        readonly operation: string;
      }
    | {
        readonly tag: 'configurationInForce';
        readonly sequence: number;
      }
    | {
        readonly tag: 'processStarted';
        readonly name: string;
        readonly role: 'entry' | 'endpoint';
      }
    | {
        readonly tag: 'processStopped';
        readonly name: string;
        /**
         * True if the process stopped and recorded this itself; false if it was
         * killed and whoever killed it recorded this.
         */
        readonly planned: boolean;
      }
    | {
        /** The process exited without having been stopped or killed. */
        readonly tag: 'processCrashed';
        readonly name: string;
        readonly exitCode: number | null;
      }
    /** Recorded regularly by one process, so that any wait can be measured. */
    | {readonly tag: 'timePassed'}
    | {readonly tag: 'processPaused'; readonly name: string}
    | {readonly tag: 'processResumed'; readonly name: string}
    | {
        readonly tag: 'faultBegan';
        readonly fault: string;
        /** Process whose connections fail; null for a fault of the store. */
        readonly target: string | null;
      }
    | {
        readonly tag: 'faultEnded';
        readonly fault: string;
        readonly target: string | null;
      }
  );
