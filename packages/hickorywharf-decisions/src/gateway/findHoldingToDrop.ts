import type {Holding} from './holding.ts';
import {SMALL_HOLDING_BYTES} from './smallHoldingBytes.ts';

/**
 * What is held, in the order in which it is dropped where none has stalled for
 * longer than the others, with the time that it may stay without progress
 * before it counts as stalled.
 *
 * - A request that has not arrived was not run: its caller gets a refusal.
 * - A response that has not arrived becomes a failure.
 * - A response that its caller reads breaks off.
 * - A whole request is dropped only if nothing else of its size is left: its
 *   caller does all that it should, and it may be running.
 */
const HOLDING_KINDS: Readonly<
  Record<Holding['kind'], {rank: number; graceMilliseconds: number}>
> = {
  arrivingFrame: {rank: 0, graceMilliseconds: 0},
  arrivingRequest: {rank: 1, graceMilliseconds: 0},
  arrivingResponse: {rank: 2, graceMilliseconds: 0},
  unreadResponse: {rank: 3, graceMilliseconds: 2000},
  heldRequest: {rank: 4, graceMilliseconds: Infinity},
};
/** Times without progress are compared in steps of this length. */
const STALL_STEP_MILLISECONDS = 500;

function countStallSteps(
  {kind, progressedAt}: Holding,
  nowMilliseconds: number,
): number {
  const stalled =
    nowMilliseconds - progressedAt - HOLDING_KINDS[kind].graceMilliseconds;
  return Math.max(0, Math.floor(stalled / STALL_STEP_MILLISECONDS));
}

/** Compares two lists of the same length by their first difference. */
function isBefore(left: readonly number[], right: readonly number[]): boolean {
  const index = left.findIndex((value, at) => value !== right[at]);
  return index >= 0 && left[index]! < right[index]!;
}

/**
 * Finds what an instance drops when it holds too much. It answers a crowd of
 * bodies that stop short of their end, of responses without end and of callers
 * that do not read: what has brought least for longest is dropped first, and of
 * what moves the largest. A call that arrives meanwhile is neither.
 *
 * @returns undefined if nothing is held
 * @example
 *     findHoldingToDrop(holdings, 5000)?.kind; // 'arrivingRequest'
 */
export function findHoldingToDrop<Held extends Holding>(
  holdings: Iterable<Held>,
  nowMilliseconds: number,
): Held | undefined {
  let found: {holding: Held; order: readonly number[]} | undefined;
  for (const holding of holdings) {
    const {kind, bytes} = holding;
    const {rank} = HOLDING_KINDS[kind];
    const order = [
      // What holds less is dropped only if there is nothing larger.
      bytes < SMALL_HOLDING_BYTES ? 1 : 0,
      kind === 'heldRequest' ? 1 : 0,
      -countStallSteps(holding, nowMilliseconds),
      rank,
      -bytes,
    ];
    if (found === undefined || isBefore(order, found.order)) {
      found = {holding, order};
    }
  }
  return found?.holding;
}
