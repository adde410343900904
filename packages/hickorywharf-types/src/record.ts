import type {StageKind} from './stageKind.ts';

/** The half of the organisation that a record belongs to; null if shared. */
type Half = string | null;

interface StageRecord {
  readonly name: string;
  readonly kind: StageKind;
  readonly pool: string;
  /** False for an action that must run at most once. */
  readonly idempotent: boolean;
  /** Name of the action, for a stage of kind `call`. */
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
  /**
   * Idempotency keys issued before this time, in milliseconds since the epoch,
   * stay with the former half after a move. If it is absent, all keys move.
   */
  readonly movesFrom?: number;
}

interface AccountRecord {
  readonly kind: 'account';
  readonly name: string;
  readonly schemaVersion: number;
  /** SHA-256 of the bearer key, in hexadecimal. */
  readonly keyHash: string;
  readonly requestsPerSecond: number;
  /** Relative weight where endpoints share time fairly among accounts. */
  readonly weight: number;
  readonly half: Half;
  /**
   * Idempotency keys issued before this time, in milliseconds since the epoch,
   * stay with the former half after a move. If it is absent, all keys move.
   */
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
 * A configuration record in its normalised form: records of schema version 1
 * count as shared between the halves. The store keeps the document as the
 * operator wrote it, including fields that this version does not support.
 */
export type ConfigurationRecord =
  PipelineRecord | RouteRecord | AccountRecord | EndpointRecord;
