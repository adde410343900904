import type {StageKind} from './stageKind.ts';

/** Which half of the organisation something belongs to; null is shared. */
type Half = string | null;

interface StageRecord {
  readonly name: string;
  readonly kind: StageKind;
  readonly pool: string;
  /** False for an action that must run at most once. */
  readonly idempotent: boolean;
  readonly action?: string;
  readonly maximumTokens?: number;
}

interface PipelineRecord {
  readonly kind: 'pipeline';
  readonly name: string;
  readonly schemaVersion: number;
  readonly deadlineMilliseconds: number;
  readonly stages: readonly StageRecord[];
}

interface RouteRecord {
  readonly kind: 'route';
  readonly name: string;
  readonly schemaVersion: number;
  readonly pipeline: string;
  readonly half: Half;
  /** Keys issued before this time stay with the former half. */
  readonly movesFrom?: number;
}

interface AccountRecord {
  readonly kind: 'account';
  readonly name: string;
  readonly schemaVersion: number;
  /** SHA-256 of the bearer key, in hexadecimal. */
  readonly keyHash: string;
  readonly requestsPerSecond: number;
  readonly weight: number;
  readonly half: Half;
  /** Keys issued before this time stay with the former half. */
  readonly movesFrom?: number;
}

interface EndpointRecord {
  readonly kind: 'endpoint';
  readonly name: string;
  readonly schemaVersion: number;
  readonly pool: string;
  readonly half: Half;
  /** True while an operator drains the endpoint. */
  readonly draining: boolean;
}

/**
 * A configuration record in its normalised form: version 1 records read as
 * shared between the halves. The form kept in the store is the operator's own
 * and keeps fields that this version does not know.
 */
export type ConfigurationRecord =
  PipelineRecord | RouteRecord | AccountRecord | EndpointRecord;
