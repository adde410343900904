import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';

interface FallbackOptions {
  /** Name of this instance. */
  readonly name: string;
  /** The peer that reads the store for this instance; null for itself. */
  readonly readerName: string | null;
  /** All instances, including this one. */
  readonly instances: ReadonlyArray<{readonly name: string}>;
  /** How often a peer chosen before had nothing newer. */
  readonly failures: number;
  /** Whether an instance is connected and responds. */
  isConnected(name: string): boolean;
}

/** Bounds the connections that are opened while the store is down for all. */
const MAXIMUM_CANDIDATES = 8;

/**
 * Picks a peer that may still reach the store, when neither this instance nor
 * its reader does: one of a few, in turn, and of others for each instance.
 *
 * Designed for a store that turns a third of the instances away while it serves
 * the rest: if all asked the same peer, and that one is turned away too, none of
 * them would hear of a change.
 *
 * @returns undefined if none of the few is connected
 * @example
 *     const instances = [{name: 'front-1'}, {name: 'front-2'}];
 *     const options = {name: 'front-1', readerName: null, instances, failures: 0};
 *     chooseFallbackPeer({...options, isConnected: () => true}); // 'front-2'
 */
export function chooseFallbackPeer(
  options: FallbackOptions,
): string | undefined {
  const {name, readerName, instances, failures, isConnected} = options;
  const others = instances
    .map((instance) => instance.name)
    .filter((other) => other !== name && other !== readerName);
  const candidates = orderByRendezvous(`fallback of ${name}`, others).slice(
    0,
    MAXIMUM_CANDIDATES,
  );
  const first = failures % candidates.length;
  return [...candidates.slice(first), ...candidates.slice(0, first)].find(
    isConnected,
  );
}
