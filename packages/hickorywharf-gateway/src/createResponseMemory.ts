interface ResponseSlot {
  /** Counts bytes; `onEvict` may be called before this returns. */
  add(bytes: number): void;
  /** Records that the response is whole and is given to its caller. */
  startDelivery(): void;
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
/** Responses below this size are dropped only if there is no other one. */
const SMALL_RESPONSE_BYTES = 65_536;

/**
 * Bounds the memory of an instance for responses that are held until they are
 * complete and the caller has read them. Over the limit the largest response is
 * dropped, so that no number of large ones affects the usual small ones. Large
 * ones that have not arrived yet are dropped first, as their callers get a
 * failure in place of a response that breaks off.
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
  /** The open slots with any bytes. */
  const slots = new Map<
    ResponseSlot,
    {bytes: number; isDelivered: boolean; onEvict(): void}
  >();
  let usedBytes = 0;

  function evict(): void {
    const bySize = [...slots].sort(
      ([, left], [, right]) => right.bytes - left.bytes,
    );
    const [slot, {onEvict}] =
      bySize.find(
        ([, {bytes, isDelivered}]) =>
          !isDelivered && bytes >= SMALL_RESPONSE_BYTES,
      ) ?? bySize[0]!;
    slot.close();
    onEvict();
  }

  return {
    open(onEvict) {
      let isClosed = false;
      const slot: ResponseSlot = {
        add(bytes) {
          if (isClosed) return;
          const entry = slots.get(slot) ?? {
            bytes: 0,
            isDelivered: false,
            onEvict,
          };
          entry.bytes += bytes;
          slots.set(slot, entry);
          usedBytes += bytes;
          while (usedBytes > maximumBytes) evict();
        },
        startDelivery() {
          const entry = slots.get(slot);
          if (entry !== undefined) entry.isDelivered = true;
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
