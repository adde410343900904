/** Rows of one kind of entity, by identifier, in order of insertion. */
export interface Table<Row> {
  readonly size: number;
  get(identifier: string): Row | undefined;
  has(identifier: string): boolean;
  /** Adds a row, or replaces the row of the same identifier in its place. */
  insert(identifier: string, row: Row): void;
  remove(identifier: string): void;
  rows(): IterableIterator<Row>;
}
