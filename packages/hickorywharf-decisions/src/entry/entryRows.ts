import type {AttemptKey} from 'hickorywharf-types/attemptKey';
import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {LoadReport} from 'hickorywharf-types/loadReport';
import type {ServeError} from 'hickorywharf-types/serveError';
import type {StageInput} from 'hickorywharf-types/stageInput';
import type {StageOutput} from 'hickorywharf-types/stageOutput';

type PipelineRecord = Extract<ConfigurationRecord, {kind: 'pipeline'}>;

/** The rows of an entry's tables. All times are monotonic milliseconds. */
export interface EntryRows {
  request: {
    readonly requestId: string;
    readonly pipeline: PipelineRecord;
    /** The half at the issue time of the key; null for shared requests. */
    half: string | null;
    /** The name that the caller requested: a route's or a pipeline's. */
    readonly route: string;
    /** Sequence of the newest move between halves that `half` reflects. */
    assignmentSequence: number;
    readonly account: string;
    readonly accountKeyHash: string;
    readonly accountWeight: number;
    readonly input: StageInput;
    readonly idempotencyKey: string | null;
    /** Digest of the request body; null without an idempotency key. */
    readonly bodyDigest: string | null;
    readonly traceparent: string | null;
    readonly acceptedAt: number;
    readonly deadlineAt: number;
    stageIndex: number;
    stageStartedAt: number;
    readonly outputs: StageOutput[];
    phase: 'ready' | 'waiting' | 'finished';
    /** Earliest time of the next dispatch. */
    readyAt: number;
    /**
     * Endpoints not to be chosen for this stage: they refused or failed it, or
     * their attempt was lost or hedged. Cleared at the next stage, and
     * when no endpoint could be chosen.
     */
    readonly excluded: Set<string>;
    /** The attempt that the stage waits for; null while there is none. */
    currentAttemptId: string | null;
    /** Tokens that the current stage has generated so far. */
    readonly tokens: string[];
    attemptsMade: number;
    /** True once any stage was sent to an endpoint. */
    begun: boolean;
    /** True while it is not certain that the action did not run. */
    actionMayHaveRun: boolean;
    /** Whether the last refusal left open if an earlier request ran the key. */
    keyMayHaveRun: boolean;
    tombstoneSent: boolean;
    lastError: ServeError | null;
  };
  attempt: AttemptKey & {
    readonly endpoint: string;
    readonly endpointIncarnation: string;
    readonly sentAt: number;
    state: 'sent' | 'superseded';
    /** Position of the next token, counted over the whole generation. */
    nextPosition: number;
    /** Whether missing tokens were requested; reset by the next new tokens. */
    recoverSent: boolean;
    /** Whether tokens of it were used since it became the current attempt. */
    hasTokens: boolean;
  };
  endpoint: {
    readonly name: string;
    address: string;
    port: number;
    failureDomain: string;
    connected: boolean;
    /** Incarnation last connected; empty before the first connection. */
    incarnation: string;
    /** Whether its last heartbeat or a refusal stated that it is leaving. */
    leaving: boolean;
    /** Whether the platform lists it as leaving; heartbeats have no effect. */
    isListedLeaving: boolean;
    /** Attempts of this entry at the endpoint that have not ended. */
    inFlight: number;
    /** Null before the first load report. */
    load: LoadReport | null;
    loadReportedAt: number;
    /** Attempts sent to the endpoint since its last load report. */
    sentSinceReport: number;
    /**
     * Time of the last frame, connection or disconnection, moved forward by
     * pauses of this process; 0 before the first.
     */
    lastSeenAt: number;
  };
  /** The newest known home intervals of a partition, oldest first. */
  home: readonly HomeInterval[];
  /** Moving average of the duration of a stage, its retries included. */
  estimate: {milliseconds: number; samples: number};
}
