import type {SimulatedEndpoint} from './simulatedEndpoint.ts';

/** A simulated request and its progress. */
export interface SimulatedRequest {
  readonly kind: string;
  /** Time of its arrival, in milliseconds. */
  readonly at: number;
  /** The instance that admits it. */
  readonly instance: number;
  /** How often it was refused on arrival. */
  refusals: number;
  /** Pieces of each stage; 0 for a stage that the request skips. */
  readonly pieces: readonly number[];
  /** When each stage was started; null before, -Infinity if it is skipped. */
  readonly startedAt: Array<number | null>;
  /** Whether all results of each stage are computed. */
  readonly isComputed: boolean[];
  /** Number of rechecks scheduled so far for delayed stages. */
  recheckCount: number;
  /** Results of each stage that are not read yet, by endpoint. */
  readonly held: Array<Map<SimulatedEndpoint, number>>;
  /** Ends the count of its work for its account; null if it does not count. */
  endShare: (() => void) | null;
  outcome: 'timely' | 'late' | 'refused' | null;
  endedAt: number;
}
