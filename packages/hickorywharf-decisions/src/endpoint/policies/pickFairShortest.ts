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
  /** Number of long attempts that run. */
  readonly runningLong: number;
}

/** Collects the queued attempts, and records when short work was last seen. */
function scanQueue(state: EndpointState, now: number): QueueView {
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

/**
 * Whether one more long attempt may start: always if no short work was seen
 * recently or the endpoint has a single slot, else while the reserved slots stay
 * free.
 */
function canStartLong(
  state: EndpointState,
  runningLong: number,
  now: number,
): boolean {
  const {reservedMilliseconds, reservedShare} = QUEUE_LIMITS;
  const hasRecentShort =
    now - state.schedulerState.shortSeenAt < reservedMilliseconds;
  // A single slot cannot be reserved.
  if (!hasRecentShort || state.slots === 1) return true;
  const reserved = Math.max(1, Math.floor(state.slots * reservedShare));
  return runningLong < state.slots - reserved;
}

/**
 * Work units that an account has received, divided by its weight; at least
 * `minimumService`.
 */
function getServed(state: EndpointState, account: string): number {
  const {servedByAccount, minimumService} = state.schedulerState;
  return Math.max(minimumService, servedByAccount.get(account) ?? 0);
}

/**
 * Returns the weighted expected time of service less the time spent waiting;
 * the attempt with the lowest rank starts first.
 */
function getRank(
  state: EndpointState,
  attempt: AttemptRow,
  now: number,
): number {
  // Before the first result of a kind, a work unit counts as a millisecond.
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

/**
 * Raises the minimum to the least service of the accounts with queued attempts.
 * Removes the accounts at or below the minimum: an account earns no credit
 * while it has nothing queued.
 */
function raiseMinimumService(
  state: EndpointState,
  waiting: readonly AttemptRow[],
): void {
  const served = waiting.map(({frame}) => getServed(state, frame.account));
  const policy = state.schedulerState;
  policy.minimumService = Math.max(policy.minimumService, Math.min(...served));
  for (const [account, value] of policy.servedByAccount) {
    if (value <= policy.minimumService) policy.servedByAccount.delete(account);
  }
}

/**
 * Chooses the next attempt to start and charges its work to its account: first
 * by account, from those that received the least work by weight, counted in
 * quanta as in deficit round robin; then the shortest, with ageing. While there
 * is short work, and for a time after it, long work leaves some slots to it.
 * Null if no queued attempt may start.
 *
 * @param now monotonic milliseconds
 * @example
 *     pickFairShortest(state, now)?.attemptId; // 'a-1'
 */
export function pickFairShortest(
  state: EndpointState,
  now: number,
): AttemptRow | null {
  const {waiting, runningLong} = scanQueue(state, now);
  const isLongAllowed = canStartLong(state, runningLong, now);
  const eligible = waiting.filter(
    (attempt) => isLongAllowed || !isLong(attempt),
  );
  if (eligible.length === 0) return null;
  raiseMinimumService(state, waiting);
  const {quantumUnits} = QUEUE_LIMITS;
  const {minimumService} = state.schedulerState;
  let next = eligible[0]!;
  let fewest = Infinity;
  let leastRank = Infinity;
  for (const attempt of eligible) {
    const served = getServed(state, attempt.frame.account) - minimumService;
    const quanta = Math.floor(served / quantumUnits);
    const rank = getRank(state, attempt, now);
    if (quanta > fewest || (quanta === fewest && rank >= leastRank)) continue;
    fewest = quanta;
    leastRank = rank;
    next = attempt;
  }
  charge(state, next);
  return next;
}
