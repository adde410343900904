/**
 * Result of claiming an idempotency key in the store for an attempt. `won`
 * means that the attempt holds the claim, `lost` that another one does, and
 * `unavailable` that no response of the store showed which.
 */
export type ClaimOutcome = 'won' | 'lost' | 'unavailable';
