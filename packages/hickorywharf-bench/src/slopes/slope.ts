/** A cost measured at several sizes, as a line through them. */
export interface Slope {
  /** The role and the mechanism, for example `entry: heartbeats`. */
  readonly name: string;
  /** What grows. */
  readonly sizeUnit: string;
  readonly valueUnit: string;
  readonly points: readonly {readonly size: number; readonly value: number}[];
  /** Value at size 0. */
  readonly intercept: number;
  /** Value that each unit of size adds. */
  readonly slope: number;
}
