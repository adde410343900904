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
 * The messages between the system's own processes. Each connection starts with
 * `hello` from both ends; times are remaining milliseconds, never wall times.
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
      /** The name that the caller asked for: a route's or a pipeline's. */
      readonly route?: string;
      /** Sequence of the newest move between halves that the entry knows. */
      readonly assignmentSequence?: number;
      readonly account: string;
      readonly accountWeight: number;
      readonly remainingMilliseconds: number;
      /** Estimated milliseconds of the stages after this one. */
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
      /** The intervals of the key's part that the endpoint process knows. */
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
      /** `neverRan` is a proof: a late frame of the attempt will be refused. */
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
      /** Intervals that the endpoint process took or released. */
      readonly tag: 'homes';
      readonly homes: readonly HomeInterval[];
    }
  /** Tells a peer how new the configuration is that it can fetch here. */
  | {readonly tag: 'configurationAt'; readonly sequence: number}
  | {readonly tag: 'fetchConfiguration'; readonly afterSequence: number}
  | {
      readonly tag: 'configuration';
      readonly entries: readonly ConfigurationEntry[];
    }
  | {
      readonly tag: 'configurationSnapshot';
      readonly sequence: number;
      /** The operation of the newest entry that the snapshot holds. */
      readonly operation?: string | null;
      readonly documents: readonly StoredDocument[];
      /** Tombstones: the latest deletions, oldest first. */
      readonly deletions?: readonly StoredDeletion[];
      /** Moves between halves, in the order of the log. */
      readonly halfMoves?: readonly HalfMove[];
    }
  | {readonly tag: 'instances'; readonly instances: readonly Instance[]}
  /** Asks the instance that makes a service's batches for pieces. */
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
  /** How long groups would wait at the services that the sender is in charge of. */
  | {readonly tag: 'stageWaits'; readonly services: readonly StageWaits[]}
  /** Gives up results that the receiver had made. */
  | {readonly tag: 'stageFree'; readonly handles: readonly string[]}
  /** Asks what the receiver believes, beside what the sender holds. */
  | {
      readonly tag: 'askBeliefs';
      readonly askId: number;
      /** Version of the configuration that the sender has; -1 for none. */
      readonly version: number;
      readonly endpointsDigest: string;
    }
  /** Ages tell how long ago the store confirmed it; null where it never did. */
  | {
      readonly tag: 'beliefs';
      readonly askId: number;
      readonly version: number;
      /** Null where the asker has that version. */
      readonly configuration: SerializedConfiguration | null;
      readonly configurationAge: number | null;
      /** Null where the asker believes the same. */
      readonly endpoints: readonly GatewayEndpoint[] | null;
      readonly endpointsAge: number | null;
    };
