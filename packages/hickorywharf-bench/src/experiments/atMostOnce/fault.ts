/** A fault of the experiment; times are simulated seconds. */
export interface Fault {
  readonly name: string;
  readonly storeDown?: {readonly from: number; readonly until: number};
  /** Share of the store's writes whose answers are lost. */
  readonly lostAnswers?: number;
  /** What becomes of one of the homes, and when. */
  readonly home?: {
    readonly from: number;
    readonly until: number;
    readonly returns: 'sameSlot' | 'otherInstance' | 'resumed' | 'handedOver';
  };
}
