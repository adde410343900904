import {getElapsed} from './getElapsed.ts';
import type {Instant} from './instant.ts';

/** `held`: missing from a restored store, and still in force. */
interface EvacuationChange {
  readonly tag: 'begun' | 'ended' | 'held';
  readonly failureDomain: string;
}

interface Evacuations {
  /**
   * Applies the complete list of the orders, as it was requested from the store
   * at `readAt`; returns the differences. The caller makes sure that no older
   * list follows a newer one.
   */
  update(ordered: readonly string[], readAt: Instant): EvacuationChange[];
  /** Records that the store was restored from a copy, which may lack orders. */
  recordRestored(now: Instant): void;
  /** The failure domains whose evacuation is in force, in their order. */
  list(): readonly string[];
}

/**
 * An order that is missing after a restoration ends only by a list that was
 * read so much later: operators write again what the store has lost.
 */
const HOLD_MILLISECONDS = 5000;

/**
 * Tracks the operators' orders to evacuate failure domains, from successive
 * lists of all orders. An order holds until a list lacks it; no failed read and
 * no age of the last list ends it. In doubt nothing is sent to the endpoints: an
 * order that a restored store brings back is in force, and one that it lacks is
 * held.
 *
 * Designed for an order that tens of instances have to obey within seconds,
 * also while some of them reach neither the store nor all others.
 *
 * @example
 *     const evacuations = createEvacuations();
 *     evacuations.update(['a'], readAt); // [{tag: 'begun', failureDomain: 'a'}]
 */
export function createEvacuations(): Evacuations {
  /** By failure domain, whether the last list lacks the order. */
  const orders = new Map<string, {isMissing: boolean}>();
  let restoredAt: Instant | null = null;

  return {
    update(ordered, readAt) {
      const listed = new Set(ordered);
      const changes: EvacuationChange[] = [];
      for (const failureDomain of listed) {
        const isNew = !orders.has(failureDomain);
        orders.set(failureDomain, {isMissing: false});
        if (isNew) changes.push({tag: 'begun', failureDomain});
      }
      const isConfirmed =
        restoredAt === null ||
        getElapsed(restoredAt, readAt) >= HOLD_MILLISECONDS;
      for (const [failureDomain, order] of orders) {
        if (listed.has(failureDomain)) continue;
        if (isConfirmed) {
          orders.delete(failureDomain);
          changes.push({tag: 'ended', failureDomain});
        } else if (!order.isMissing) {
          order.isMissing = true;
          changes.push({tag: 'held', failureDomain});
        }
      }
      return changes;
    },
    recordRestored(now) {
      restoredAt = now;
    },
    list: () => [...orders.keys()].sort(),
  };
}
