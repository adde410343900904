/** One kind of request of a mix. */
export interface LoadKind {
  readonly pipeline: string;
  /** Share of the mix, relative to the other kinds. */
  readonly weight: number;
  /** Length of the text that is the request's own. */
  readonly characters: readonly [minimum: number, maximum: number];
  readonly tokens: readonly [minimum: number, maximum: number];
  /** Texts that requests of this kind start with, such as a district's. */
  readonly prefixes: {readonly count: number; readonly characters: number};
}
