/** Counts the bytes of frames that have not arrived whole. */
export interface FrameMemory {
  /**
   * Opens the slot of one connection.
   *
   * @param onDrop called at most once, when the connection has to be closed for
   *   memory; the slot is closed by then
   */
  open(
    kind: 'arrivingFrame',
    onDrop: () => void,
  ): {
    add(bytes: number): void;
    subtract(bytes: number): void;
    close(): void;
  };
}
