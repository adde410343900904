import type {AttemptKey} from './attemptKey.ts';
import type {ConfigurationEntry} from './configurationEntry.ts';
import type {GatewayEndpoint} from './gateway/gatewayEndpoint.ts';
import type {SerializedConfiguration} from './gateway/serializedConfiguration.ts';
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
 * wall-clock times.
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
      readonly half: string | null;
      /** The name that the caller requested: that of a route or a pipeline. */
      readonly route?: string;
      /** Sequence of the newest move between halves that the entry applied. */
      readonly assignmentSequence?: number;
      readonly account: string;
      readonly accountWeight: number;
      readonly remainingMilliseconds: number;
      /** Estimated time of the stages after this one. */
      readonly laterMilliseconds: number;
      readonly input: StageInput;
      readonly idempotencyKey: string | null;
      readonly bodyDigest: string | null;
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
      readonly queuedMilliseconds: number;
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
      readonly conflict: boolean;
      readonly message: string;
    } & AttemptKey)
  | ({readonly tag: 'cancel'} & AttemptKey)
  | ({readonly tag: 'tombstone'} & AttemptKey)
  | ({
      readonly tag: 'tombstoned';
      /** `neverRan` is final: a late frame of the attempt will be refused. */
      readonly state: 'neverRan' | 'begun';
    } & AttemptKey)
  | ({readonly tag: 'recover'; readonly fromPosition: number} & AttemptKey)
  | ({readonly tag: 'attemptUnknown'} & AttemptKey)
  | {
      readonly tag: 'heartbeat';
      readonly leaving: boolean;
      readonly load: LoadReport | null;
      readonly configurationSequence: number;
    }
  | {
      /** Intervals that the endpoint process acquired or released. */
      readonly tag: 'homes';
      readonly homes: readonly HomeInterval[];
    }
  /** Announces the newest configuration that the peer can fetch here. */
  | {readonly tag: 'configurationAt'; readonly sequence: number}
  | {readonly tag: 'fetchConfiguration'; readonly afterSequence: number}
  | {
      readonly tag: 'configuration';
      readonly entries: readonly ConfigurationEntry[];
    }
  | {
      readonly tag: 'configurationSnapshot';
      readonly sequence: number;
      /** The operation of the newest entry that the snapshot includes. */
      readonly operation?: string | null;
      readonly documents: readonly StoredDocument[];
      /** Tombstones of the latest deletions, oldest first. */
      readonly deletions?: readonly StoredDeletion[];
      /** Moves between halves, in the order of the log. */
      readonly halfMoves?: readonly HalfMove[];
    }
  | {readonly tag: 'instances'; readonly instances: readonly Instance[]}
  /** Orders pieces from the dispatcher of their service. */
  | {
      readonly tag: 'stageOrder';
      readonly orderId: number;
      readonly order: StageOrder;
    }
  | {readonly tag: 'stageCancel'; readonly orderId: number}
  | {
      readonly tag: 'stageResults';
      readonly orderId: number;
      readonly results: readonly StageResult[];
    }
  /** Estimated waits at the services whose dispatcher the sender is. */
  | {readonly tag: 'stageWaits'; readonly services: readonly StageWaits[]}
  /** Releases results of pieces that were ordered from the receiver. */
  | {readonly tag: 'stageFree'; readonly handles: readonly string[]}
  /** Requests the state of the receiver where it differs from the sender's. */
  | {
      readonly tag: 'askBeliefs';
      readonly askId: number;
      /** Version of the sender's configuration; -1 for none. */
      readonly version: number;
      readonly endpointsDigest: string;
    }
  /** Ages: milliseconds since the store confirmed it; null if it never did. */
  | {
      readonly tag: 'beliefs';
      readonly askId: number;
      readonly version: number;
      /** Null if the requester has that version or a newer one. */
      readonly configuration: SerializedConfiguration | null;
      readonly configurationAge: number | null;
      /** Null if the requester has the same list. */
      readonly endpoints: readonly GatewayEndpoint[] | null;
      readonly endpointsAge: number | null;
    };
