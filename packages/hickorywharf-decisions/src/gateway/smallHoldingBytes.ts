/** Bytes below which a request or response counts as a usual, small one. */
export const SMALL_HOLDING_BYTES = 65_536;
