/**
 * A piece is sent to endpoints at most this many times. Rejections for lack of
 * memory count as sends, but a piece is always queued again after one.
 */
export const MAXIMUM_PIECE_SENDS = 4;
