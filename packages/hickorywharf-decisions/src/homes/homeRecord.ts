import type {HomeInterval} from 'hickorywharf-types/homeInterval';

/**
 * The record of a pool's homes in the store: the newest interval of each part.
 * It is written only by compare-and-swap.
 */
export interface HomeRecord {
  readonly intervals: readonly (HomeInterval & {
    /** True once the home gave the part up: `until` is final. */
    readonly released: boolean;
  })[];
}
