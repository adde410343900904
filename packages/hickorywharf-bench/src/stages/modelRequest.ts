import type {ModelEndpoint} from './modelEndpoint.ts';

/** One request of the model, as far as it has come. */
export interface ModelRequest {
  readonly kind: string;
  readonly at: number;
  readonly pieces: readonly number[];
  /** When each stage was begun; null before, -Infinity if it is left out. */
  readonly begunAt: Array<number | null>;
  readonly isMade: boolean[];
  /** Counts the later looks at stages that were put off. */
  looks: number;
  /** Results of each stage that are not read yet, by endpoint. */
  readonly held: Array<Map<ModelEndpoint, number>>;
  outcome: 'timely' | 'late' | 'refused' | null;
  endedAt: number;
}
