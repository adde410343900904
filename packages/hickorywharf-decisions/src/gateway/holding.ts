/** Memory that an instance holds for one request, response or connection. */
export interface Holding {
  /** What is held, see `HOLDING_KINDS`. */
  readonly kind:
    | 'arrivingFrame'
    | 'arrivingRequest'
    | 'arrivingResponse'
    | 'unreadResponse'
    | 'heldRequest';
  readonly bytes: number;
  /**
   * When another block of it arrived last, or when it was given to its caller,
   * in monotonic milliseconds.
   */
  readonly progressedAt: number;
}
