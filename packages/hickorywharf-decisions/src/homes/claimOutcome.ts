/**
 * What came of the claim of a key. `lost` says that somebody else has it,
 * `unavailable` that the store gave no answer that settles it.
 */
export type ClaimOutcome = 'won' | 'lost' | 'unavailable';
