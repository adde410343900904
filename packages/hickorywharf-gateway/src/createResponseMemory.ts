interface ResponseSlot {
  /** Counts bytes; `onEvict` may be called before this returns. */
  add(bytes: number): void;
  /** Counts the slot's bytes as free. */
  close(): void;
}

interface ResponseMemory {
  /**
   * Opens the slot of one response.
   *
   * @param onEvict called at most once, when the response has to be dropped;
   *   the slot is closed by then
   */
  open(onEvict: () => void): ResponseSlot;
}

/** An eighth of the least memory of an instance, rounded down. */
const MAXIMUM_RESPONSE_MEMORY_BYTES = 33_554_432;

/**
 * Bounds the memory of an instance for responses that are held until they are
 * complete and the caller has read them. Over the limit the largest response is
 * dropped, so that no number of large ones affects the usual small ones.
 *
 * @example
 *     const memory = createResponseMemory();
 *     const slot = memory.open(() => exchange.abort());
 *     slot.add(800);
 *     slot.close();
 */
export function createResponseMemory(
  maximumBytes: number = MAXIMUM_RESPONSE_MEMORY_BYTES,
): ResponseMemory {
  /** Bytes and eviction of the open slots with any bytes. */
  const slots = new Map<ResponseSlot, {bytes: number; onEvict(): void}>();
  let usedBytes = 0;

  function evictLargest(): void {
    const [largest] = [...slots].sort(
      ([, left], [, right]) => right.bytes - left.bytes,
    );
    const [slot, {onEvict}] = largest!;
    slot.close();
    onEvict();
  }

  return {
    open(onEvict) {
      let isClosed = false;
      const slot: ResponseSlot = {
        add(bytes) {
          if (isClosed) return;
          const entry = slots.get(slot) ?? {bytes: 0, onEvict};
          entry.bytes += bytes;
          slots.set(slot, entry);
          usedBytes += bytes;
          while (usedBytes > maximumBytes) evictLargest();
        },
        close() {
          isClosed = true;
          usedBytes -= slots.get(slot)?.bytes ?? 0;
          slots.delete(slot);
        },
      };
      return slot;
    },
  };
}
