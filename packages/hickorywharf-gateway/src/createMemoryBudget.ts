import {findHoldingToDrop} from 'hickorywharf-decisions/gateway/findHoldingToDrop';
import type {Holding} from 'hickorywharf-decisions/gateway/holding';
import {SMALL_HOLDING_BYTES} from 'hickorywharf-decisions/gateway/smallHoldingBytes';

type Kind = Holding['kind'];

interface MemorySlot {
  /** Counts bytes; `onDrop` may be called before this returns. */
  add(bytes: number): void;
  /** Counts bytes as free that the slot goes on without. */
  subtract(bytes: number): void;
  /** Changes what the slot is for, which counts as progress. */
  setKind(kind: Kind): void;
  /** Counts the slot's bytes as free. */
  close(): void;
}

interface MemoryBudget {
  /** Bytes that are held now. */
  readonly usedBytes: number;
  /**
   * Opens the slot of one request, response or connection.
   *
   * @param onDrop called at most once, when its bytes have to be dropped; the
   *   slot is closed by then
   */
  open(kind: Kind, onDrop: () => void): MemorySlot;
}

interface MemoryBudgetOptions {
  readonly maximumBytes: number;
  /** Monotonic milliseconds. */
  now(): number;
  /** Called for what is dropped, before its own handler. */
  onDrop?(kind: Kind, bytes: number): void;
}

/** Fewer bytes are no progress: a caller that sends single bytes has stalled. */
const PROGRESS_BYTES = 16_384;
/**
 * The share that whole requests may take before large ones are turned away, so
 * that small calls are served while endpoints keep large ones waiting.
 */
const HELD_REQUEST_RATIO = 7 / 8;

/**
 * Bounds the memory of an instance for all that it holds for others: requests
 * that arrive or are held for a second attempt, responses that arrive or are not
 * read, and frames of peers. Over the limit it drops what `findHoldingToDrop`
 * says, so that no number of large ones affects the usual small ones.
 *
 * @example
 *     const budget = createMemoryBudget({maximumBytes: 33_554_432, now});
 *     const slot = budget.open('arrivingResponse', () => exchange.abort());
 *     slot.add(800);
 *     slot.close();
 */
export function createMemoryBudget(options: MemoryBudgetOptions): MemoryBudget {
  const {maximumBytes, now} = options;
  type Entry = {-readonly [Field in keyof Holding]: Holding[Field]} & {
    /** Bytes since the last progress. */
    arrivedBytes: number;
    drop(): void;
  };
  /** The open slots with any bytes. */
  const entries = new Set<Entry>();
  const used: Record<Kind, number> = {
    arrivingFrame: 0,
    arrivingRequest: 0,
    arrivingResponse: 0,
    unreadResponse: 0,
    heldRequest: 0,
  };
  let usedBytes = 0;

  function change(entry: Entry, bytes: number): void {
    entry.bytes += bytes;
    used[entry.kind] += bytes;
    usedBytes += bytes;
  }

  function dropUntilWithin(): void {
    while (usedBytes > maximumBytes) {
      const entry = findHoldingToDrop(entries, now());
      if (entry === undefined) return;
      entry.drop();
    }
  }

  return {
    get usedBytes() {
      return usedBytes;
    },
    open(firstKind, onDrop) {
      let isClosed = false;
      const entry: Entry = {
        kind: firstKind,
        bytes: 0,
        progressedAt: now(),
        arrivedBytes: 0,
        drop() {
          const {kind, bytes} = entry;
          slot.close();
          options.onDrop?.(kind, bytes);
          onDrop();
        },
      };
      const slot: MemorySlot = {
        add(bytes) {
          if (isClosed) return;
          entries.add(entry);
          change(entry, bytes);
          entry.arrivedBytes += bytes;
          if (entry.arrivedBytes >= PROGRESS_BYTES) {
            entry.arrivedBytes = 0;
            entry.progressedAt = now();
          }
          dropUntilWithin();
        },
        subtract(bytes) {
          if (isClosed) return;
          change(entry, -Math.min(bytes, entry.bytes));
          entry.progressedAt = now();
        },
        setKind(kind) {
          if (isClosed) return;
          const {bytes} = entry;
          change(entry, -bytes);
          entry.kind = kind;
          entry.progressedAt = now();
          change(entry, bytes);
          const isOver = used.heldRequest > maximumBytes * HELD_REQUEST_RATIO;
          const isLarge = bytes >= SMALL_HOLDING_BYTES;
          if (kind === 'heldRequest' && isLarge && isOver) entry.drop();
        },
        close() {
          if (isClosed) return;
          isClosed = true;
          change(entry, -entry.bytes);
          entries.delete(entry);
        },
      };
      return slot;
    },
  };
}
