import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';
import {getWorkUnits} from './getWorkUnits.ts';
import {QUEUE_LIMITS} from './queueLimits.ts';

type AttemptRow = EndpointRows['attempt'];

function isLong(attempt: AttemptRow): boolean {
  return getWorkUnits(attempt) > QUEUE_LIMITS.longUnits;
}

interface QueueView {
  readonly waiting: readonly AttemptRow[];
  readonly runningLong: number;
}

function lookAt(state: EndpointState, now: number): QueueView {
  const waiting: AttemptRow[] = [];
  let runningLong = 0;
  for (const attempt of state.attempts.rows()) {
    const isWaiting = attempt.state === 'queued';
    if (!isWaiting && attempt.state !== 'running') continue;
    const long = isLong(attempt);
    if (!long) state.schedulerState.shortSeenAt = now;
    if (isWaiting) waiting.push(attempt);
    else if (long) runningLong += 1;
  }
  return {waiting, runningLong};
}

function mayStartLong(
  state: EndpointState,
  runningLong: number,
  now: number,
): boolean {
  const {reservedMilliseconds, reservedShare} = QUEUE_LIMITS;
  const isShortAbout =
    now - state.schedulerState.shortSeenAt < reservedMilliseconds;
  if (!isShortAbout || state.slots === 1) return true;
  const reserved = Math.max(1, Math.floor(state.slots * reservedShare));
  return runningLong < state.slots - reserved;
}

function getServed(state: EndpointState, account: string): number {
  const {servedByAccount, minimumService: minimumService} =
    state.schedulerState;
  return Math.max(minimumService, servedByAccount.get(account) ?? 0);
}

/** What is short goes first, unless longer work has waited for long. */
function getRank(
  state: EndpointState,
  attempt: AttemptRow,
  now: number,
): number {
  const unit =
    state.schedulerState.unitMilliseconds.get(attempt.frame.kind) ?? 1;
  const needed = unit * getWorkUnits(attempt);
  return needed * QUEUE_LIMITS.serviceTimeWeight - (now - attempt.arrivedAt);
}

function charge(state: EndpointState, attempt: AttemptRow): void {
  const {account, accountWeight} = attempt.frame;
  const units = getWorkUnits(attempt) / Math.max(1, accountWeight);
  const {servedByAccount} = state.schedulerState;
  servedByAccount.set(account, getServed(state, account) + units);
}

/** Accounts that do not wait save nothing up, so they can be forgotten. */
function raiseFloor(
  state: EndpointState,
  waiting: readonly AttemptRow[],
): void {
  const served = waiting.map(({frame}) => getServed(state, frame.account));
  const memory = state.schedulerState;
  memory.minimumService = Math.max(memory.minimumService, Math.min(...served));
  for (const [account, value] of memory.servedByAccount) {
    if (value <= memory.minimumService) memory.servedByAccount.delete(account);
  }
}

/**
 * Chooses the next attempt: first among the accounts that had least, in
 * quanta of work by weight (deficit round robin), then the shortest, with ageing.
 * Long work leaves some slots to short work while there is any.
 *
 * @example
 *     pickFairShortest(state, now)?.attemptId;
 */
export function pickFairShortest(
  state: EndpointState,
  now: number,
): AttemptRow | null {
  const {waiting, runningLong} = lookAt(state, now);
  const allowLong = mayStartLong(state, runningLong, now);
  const eligible = waiting.filter((attempt) => allowLong || !isLong(attempt));
  if (eligible.length === 0) return null;
  raiseFloor(state, waiting);
  const {quantumUnits} = QUEUE_LIMITS;
  const {minimumService: minimumService} = state.schedulerState;
  let next = eligible[0]!;
  let least = Infinity;
  let leastRank = Infinity;
  for (const attempt of eligible) {
    const served = getServed(state, attempt.frame.account) - minimumService;
    const round = Math.floor(served / quantumUnits);
    const rank = getRank(state, attempt, now);
    if (round > least || (round === least && rank >= leastRank)) continue;
    least = round;
    leastRank = rank;
    next = attempt;
  }
  charge(state, next);
  return next;
}
