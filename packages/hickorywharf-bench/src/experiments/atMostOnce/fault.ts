/** A fault of a simulation; times are simulated seconds. */
export interface Fault {
  readonly name: string;
  readonly storeDown?: {readonly from: number; readonly until: number};
  /** Share of the store's writes whose responses are lost. */
  readonly lostResponseShare?: number;
  /** When one of the homes fails or leaves, and what takes its place. */
  readonly home?: {
    readonly from: number;
    readonly until: number;
    readonly returns: 'sameSlot' | 'otherInstance' | 'resumed' | 'handedOver';
  };
}
