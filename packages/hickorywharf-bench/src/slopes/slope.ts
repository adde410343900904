/** A cost measured at several sizes, and the line fitted through the points. */
export interface Slope {
  /** What was measured, for example `entry: idle memory`. */
  readonly name: string;
  /** What the sizes count. */
  readonly sizeUnit: string;
  readonly valueUnit: string;
  readonly points: readonly {readonly size: number; readonly value: number}[];
  /** Value at size 0. */
  readonly intercept: number;
  /** Value added by each unit of size. */
  readonly slope: number;
}
