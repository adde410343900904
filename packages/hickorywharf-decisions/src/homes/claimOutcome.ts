/**
 * Result of claiming an idempotency key in the store. `lost` means that another
 * attempt holds the claim, `unavailable` that no answer of the store decides
 * it.
 */
export type ClaimOutcome = 'won' | 'lost' | 'unavailable';
