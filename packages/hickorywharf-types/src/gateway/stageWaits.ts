/** How long a group of pieces that comes now would wait at a service. */
export interface StageWaits {
  readonly service: string;
  /** For a timely group of each priority, from 0 on; the last for the rest. */
  readonly timelyMilliseconds: readonly number[];
  /** For a group that comes after all that waits. */
  readonly totalMilliseconds: number;
}
