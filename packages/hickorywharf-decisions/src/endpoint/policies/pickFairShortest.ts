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

function canStartLong(
  state: EndpointState,
  runningLong: number,
  now: number,
): boolean {
  const {reservedMilliseconds, reservedShare} = QUEUE_LIMITS;
  const hasRecentShort =
    now - state.schedulerState.shortSeenAt < reservedMilliseconds;
  if (!hasRecentShort || state.slots === 1) return true;
  const reserved = Math.max(1, Math.floor(state.slots * reservedShare));
  return runningLong < state.slots - reserved;
}

function getServed(state: EndpointState, account: string): number {
  const {servedByAccount, minimumService} = state.schedulerState;
  return Math.max(minimumService, servedByAccount.get(account) ?? 0);
}

/** Lowest first: short expected service, less the time spent waiting. */
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

/** Also removes accounts at the minimum: waiting for work earns no credit. */
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
 * Chooses the next attempt to start: first by account, from those that received
 * the least work by weight, counted in quanta as in deficit round robin; then
 * the shortest, with ageing. While there is short work, long work leaves some
 * slots to it.
 *
 * @example
 *     pickFairShortest(state, now)?.attemptId;
 */
export function pickFairShortest(
  state: EndpointState,
  now: number,
): AttemptRow | null {
  const {waiting, runningLong} = scanQueue(state, now);
  const allowLong = canStartLong(state, runningLong, now);
  const eligible = waiting.filter((attempt) => allowLong || !isLong(attempt));
  if (eligible.length === 0) return null;
  raiseMinimumService(state, waiting);
  const {quantumUnits} = QUEUE_LIMITS;
  const {minimumService} = state.schedulerState;
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
