/** A kind of request in a load mix. */
export interface LoadKind {
  readonly pipeline: string;
  /** Share of the requests, relative to the other kinds of the mix. */
  readonly weight: number;
  /** Length of the text that follows the prefix and is unique to a request. */
  readonly characters: readonly [minimum: number, maximum: number];
  /** Tokens to generate. */
  readonly tokens: readonly [minimum: number, maximum: number];
  /**
   * Texts of which each request of this kind starts with one, such as the
   * prompt of a district: how many there are, and their length.
   */
  readonly prefixes: {readonly count: number; readonly characters: number};
}
