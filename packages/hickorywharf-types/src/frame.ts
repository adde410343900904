import type {AttemptKey} from './attemptKey.ts';
import type {ConfigurationEntry} from './configurationEntry.ts';
import type {EndpointLimitReport} from './gateway/endpointLimitReport.ts';
import type {EvacuationReport} from './gateway/evacuationReport.ts';
import type {GatewayEndpoint} from './gateway/gatewayEndpoint.ts';
import type {QuarantineRecord} from './gateway/quarantineRecord.ts';
import type {SerializedConfiguration} from './gateway/serializedConfiguration.ts';
import type {StreamExchange} from './gateway/streamExchange.ts';
import type {StageOrder} from './gateway/stageOrder.ts';
import type {StageWaits} from './gateway/stageWaits.ts';
import type {StageResult} from './gateway/stageResult.ts';
import type {HalfMove} from './halfMove.ts';
import type {HomeInterval} from './homeInterval.ts';
import type {Instance} from './instance.ts';
import type {LoadReport} from './loadReport.ts';
import type {Outcome} from './outcome.ts';
import type {ProcessIdentity} from './processIdentity.ts';
import type {RefusalReason} from './refusalReason.ts';
import type {StageInput} from './stageInput.ts';
import type {StageKind} from './stageKind.ts';
import type {StageOutput} from './stageOutput.ts';
import type {StoredDeletion} from './storedDeletion.ts';
import type {StoredDocument} from './storedDocument.ts';

/**
 * The messages between the processes of the system. Each connection starts with
 * `hello` from both ends. Deadlines are sent as remaining milliseconds, not as
 * wall-clock times. A process that does not support any protocol version of its
 * peer sends `helloRefused` and closes the connection.
 */
export type Frame =
  | {
      readonly tag: 'hello';
      readonly protocolMinimum: number;
      readonly protocolMaximum: number;
      readonly identity: ProcessIdentity;
    }
  | {
      readonly tag: 'helloRefused';
      readonly protocolMinimum: number;
      readonly protocolMaximum: number;
    }
  | ({
      readonly tag: 'attempt';
      readonly kind: StageKind;
      readonly pool: string;
      readonly idempotent: boolean;
      /** The half that the request belongs to; null for shared requests. */
      readonly half: string | null;
      /** The name that the caller requested: that of a route or a pipeline. */
      readonly route?: string;
      /** Sequence of the newest move between halves that the entry applied. */
      readonly assignmentSequence?: number;
      /** Name of the client account. */
      readonly account: string;
      /** Relative weight where endpoints share time fairly among accounts. */
      readonly accountWeight: number;
      /** Time left until the deadline of the request. */
      readonly remainingMilliseconds: number;
      /** Estimated time of the stages after this one. */
      readonly laterMilliseconds: number;
      readonly input: StageInput;
      /** Null if the request has no key. */
      readonly idempotencyKey: string | null;
      /** Digest of the request's body; null if there is no idempotency key. */
      readonly bodyDigest: string | null;
      /** Trace context of the request; null if the request is not traced. */
      readonly traceparent: string | null;
    } & AttemptKey)
  | ({
      readonly tag: 'tokens';
      /** Position of the first token of this frame in the generation. */
      readonly position: number;
      readonly tokens: readonly string[];
    } & AttemptKey)
  | ({
      readonly tag: 'result';
      readonly output: StageOutput;
      /** Time from the arrival of the attempt to its start at the backend. */
      readonly queuedMilliseconds: number;
      /** Time of the backend call. */
      readonly backendMilliseconds: number;
    } & AttemptKey)
  | ({
      readonly tag: 'refused';
      readonly reason: RefusalReason;
      readonly message: string;
      /** The intervals of the key's partition that the endpoint observed. */
      readonly homes?: readonly HomeInterval[];
    } & AttemptKey)
  | ({
      readonly tag: 'failed';
      readonly outcome: Outcome;
      /** Whether a different request has used the same idempotency key. */
      readonly conflict: boolean;
      readonly message: string;
    } & AttemptKey)
  /** Cancels an attempt; also one whose frame arrives later. */
  | ({readonly tag: 'cancel'} & AttemptKey)
  /** Like `cancel`, and requests the state of the attempt. */
  | ({readonly tag: 'tombstone'} & AttemptKey)
  | ({
      readonly tag: 'tombstoned';
      /** `neverRan` is final: a late frame of the attempt will be refused. */
      readonly state: 'neverRan' | 'begun';
    } & AttemptKey)
  /** Requests the tokens of an attempt from a position on, and its ending. */
  | ({readonly tag: 'recover'; readonly fromPosition: number} & AttemptKey)
  /** Response to `recover` if the sender's attempt is not known. */
  | ({readonly tag: 'attemptUnknown'} & AttemptKey)
  | {
      readonly tag: 'heartbeat';
      /** Whether the sender is leaving and accepts no new work. */
      readonly leaving: boolean;
      /** Null if the sender is no endpoint process. */
      readonly load: LoadReport | null;
      readonly configurationSequence: number;
      /** Left out if there are none. */
      readonly endpointLimits?: readonly EndpointLimitReport[];
      /** Left out if there is nothing to tell. */
      readonly streams?: StreamExchange;
      /** Left out if there is nothing to tell. */
      readonly quarantineRecords?: readonly QuarantineRecord[];
    }
  | {
      /** Intervals that the endpoint process acquired or released. */
      readonly tag: 'homes';
      readonly homes: readonly HomeInterval[];
    }
  /** Announces the newest configuration that the sender can provide. */
  | {readonly tag: 'configurationAt'; readonly sequence: number}
  /** Requests the entries after a sequence, or a snapshot instead. */
  | {readonly tag: 'fetchConfiguration'; readonly afterSequence: number}
  | {
      readonly tag: 'configuration';
      readonly entries: readonly ConfigurationEntry[];
    }
  | {
      readonly tag: 'configurationSnapshot';
      /** Sequence of the newest entry that the snapshot includes. */
      readonly sequence: number;
      /** The operation of that entry; null or undefined if unknown. */
      readonly operation?: string | null;
      readonly documents: readonly StoredDocument[];
      /** Tombstones of the latest deletions, oldest first. */
      readonly deletions?: readonly StoredDeletion[];
      /** Moves between halves, in the order of the log. */
      readonly halfMoves?: readonly HalfMove[];
    }
  | {readonly tag: 'instances'; readonly instances: readonly Instance[]}
  /** Orders pieces from the instance that dispatches for their service. */
  | {
      readonly tag: 'stageOrder';
      /** Identifies the order among those on the same connection. */
      readonly orderId: number;
      readonly order: StageOrder;
    }
  | {readonly tag: 'stageCancel'; readonly orderId: number}
  | {
      readonly tag: 'stageResults';
      readonly orderId: number;
      readonly results: readonly StageResult[];
    }
  /** Estimated waits at the services that the sender dispatches for. */
  | {
      readonly tag: 'stageWaits';
      readonly services: readonly StageWaits[];
      /** Left out if there are none. */
      readonly endpointLimits?: readonly EndpointLimitReport[];
    }
  /** Releases results of pieces that were ordered from the receiver. */
  | {readonly tag: 'stageFree'; readonly handles: readonly string[]}
  /** Requests the state of the receiver where it differs from the sender's. */
  | {
      readonly tag: 'askBeliefs';
      /** Identifies the request; the reply repeats it. */
      readonly askId: number;
      /** Version of the sender's configuration; -1 for none. */
      readonly version: number;
      /** Digest of the sender's endpoint list. */
      readonly endpointsDigest: string;
    }
  /**
   * The state of the sender. An age is the time in milliseconds since the store
   * confirmed that part of the state; null if the store never did.
   */
  | {
      readonly tag: 'beliefs';
      readonly askId: number;
      /** Version of the sender's configuration; -1 for none. */
      readonly version: number;
      /** Null since a newer configuration is requested by `askConfiguration`. */
      readonly configuration: SerializedConfiguration | null;
      readonly configurationAge: number | null;
      /** Null if the requester's list has the same digest. */
      readonly endpoints: readonly GatewayEndpoint[] | null;
      readonly endpointsAge: number | null;
      /** Left out before the sender's first list, and without evacuations. */
      readonly evacuations?: EvacuationReport;
    }
  /** Requests the configuration of the receiver. */
  | {readonly tag: 'askConfiguration'; readonly askId: number}
  | {
      readonly tag: 'packedConfiguration';
      readonly askId: number;
      /** Compressed by `packConfiguration`; null if the sender has none. */
      readonly content: Uint8Array | null;
      /** As in `beliefs`. */
      readonly age: number | null;
    };
