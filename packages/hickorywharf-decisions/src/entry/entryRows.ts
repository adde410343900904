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
    /** The half that the key's issue time gives. */
    half: string | null;
    /** The name that the caller asked for: a route's or a pipeline's. */
    readonly route: string;
    /** The newest move between halves that the half takes note of. */
    assignmentSequence: number;
    readonly account: string;
    readonly accountKeyHash: string;
    readonly accountWeight: number;
    readonly input: StageInput;
    readonly idempotencyKey: string | null;
    readonly bodyDigest: string | null;
    readonly traceparent: string | null;
    readonly acceptedAt: number;
    readonly deadlineAt: number;
    stageIndex: number;
    stageStartedAt: number;
    readonly outputs: StageOutput[];
    phase: 'ready' | 'waiting' | 'finished';
    /** Earliest moment of the next dispatch. */
    readyAt: number;
    /** Endpoints that refused or failed this stage. */
    readonly excluded: Set<string>;
    /** The attempt whose results count. */
    currentAttemptId: string | null;
    /** Generated tokens that the caller has been given. */
    readonly tokens: string[];
    attemptsMade: number;
    /** True once any stage may have begun. */
    begun: boolean;
    /** True once the action may have run. */
    actionMayHaveRun: boolean;
    /** True once a refusal left open whether the key ran for another request. */
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
    recoverSent: boolean;
  };
  endpoint: {
    readonly name: string;
    address: string;
    port: number;
    failureDomain: string;
    connected: boolean;
    incarnation: string;
    /** By its own heartbeat or refusal. */
    leaving: boolean;
    /** By the platform's list, which its own heartbeat does not overrule. */
    isListedLeaving: boolean;
    inFlight: number;
    load: LoadReport | null;
    loadReportedAt: number;
    /** Sent to the endpoint since its last report. */
    sentSinceReport: number;
    lastSeenAt: number;
  };
  /** The last intervals of one half and part, oldest first. */
  home: readonly HomeInterval[];
  estimate: {milliseconds: number; samples: number};
}
