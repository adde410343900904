import type {AccountWorkReport} from 'hickorywharf-types/gateway/accountWorkReport';
import type {AccountWorkFigures} from './accountWorkFigures.ts';
import {createAccountWork} from './createAccountWork.ts';
import {getFairLevel} from './getFairLevel.ts';
import {mergeAccountWork} from './mergeAccountWork.ts';
import {readAccountWork} from './readAccountWork.ts';
import {writeAccountWork} from './writeAccountWork.ts';

interface AccountStanding {
  /** Whether the account has more than its share of the room. */
  readonly isOver: boolean;
  readonly workMilliseconds: number;
  /** The share of an account with enough demand; Infinity if all is served. */
  readonly shareMilliseconds: number;
  /** Number of instances whose figures were counted. */
  readonly instances: number;
  /** Age of the oldest figure. */
  readonly ageMilliseconds: number;
}

/** Times are monotonic milliseconds, work is in milliseconds. */
interface FairShares {
  /**
   * Counts the work of an admitted call for its account, until the function
   * returned is called.
   */
  startCall(account: string, milliseconds: number): () => void;
  /** Counts the work of a call that was refused for lack of room. */
  recordRefusal(account: string, milliseconds: number, now: number): void;
  /** Records what a peer reports of itself. */
  recordReport(peer: string, report: AccountWorkReport, now: number): void;
  /** Records what a peer sums up, perhaps with this instance. */
  recordSum(peer: string, report: AccountWorkReport, now: number): void;
  /** What this instance has; null while there is nothing to tell. */
  createReport(now: number): AccountWorkReport | null;
  /** As `createReport`, with what peers reported of themselves. */
  createSum(now: number): AccountWorkReport | null;
  /** How an account stands now, by all instances that are known. */
  getStanding(account: string, now: number): AccountStanding;
}

/** What is known of all instances at a moment. */
interface Snapshot {
  readonly takenAt: number;
  /** All but what this instance has. */
  readonly others: AccountWorkFigures | null;
  readonly shareMilliseconds: number;
  readonly instances: number;
}

interface ReceivedFigures {
  readonly figures: AccountWorkFigures;
  readonly receivedAt: number;
}

/**
 * Figures of a peer count for this time, several heartbeats. Those of an
 * instance that is lost or cut off end with it.
 */
const VALID_MILLISECONDS = 1500;
/**
 * How long after the last refusal figures are told. It covers the return of the
 * refused callers.
 */
const TELL_MILLISECONDS = 5000;
/**
 * How long the sums over all instances are used before they are made again, so
 * that they cost little while many calls find no room. Peers tell theirs less
 * often.
 */
const SNAPSHOT_MILLISECONDS = 50;
/** Less work than this beyond the share is a matter of rounding. */
const MINIMUM_EXCESS_MILLISECONDS = 1;

/** The figures that still count, with their ages at this time. */
function listFresh(
  received: Map<string, ReceivedFigures>,
  now: number,
): AccountWorkFigures[] {
  const fresh: AccountWorkFigures[] = [];
  for (const [peer, {figures, receivedAt}] of received) {
    const elapsed = now - receivedAt;
    const ageMilliseconds = figures.ageMilliseconds + elapsed;
    if (ageMilliseconds > VALID_MILLISECONDS) received.delete(peer);
    else {
      const refusedAgeMilliseconds = figures.refusedAgeMilliseconds + elapsed;
      fresh.push({...figures, ageMilliseconds, refusedAgeMilliseconds});
    }
  }
  return fresh;
}

/**
 * Counts the work of each client account over all instances, and decides which
 * account has more than its max-min share of the room. The room is the work
 * that was admitted. The demand is that and what was refused lately, so that
 * while nothing is refused no account is over its share.
 *
 * Designed for a burst of one account that lasts for seconds, with callers who
 * return at once: what its calls take counts, not how often it asks. An account
 * that was idle has its share with its first call.
 *
 * @example
 *     const shares = createFairShares();
 *     const end = shares.startCall('farm-1', 420);
 *     shares.getStanding('farm-1', now).isOver; // false
 *     end();
 */
export function createFairShares(): FairShares {
  const own = createAccountWork();
  const peers = new Map<string, ReceivedFigures>();
  const sums = new Map<string, ReceivedFigures>();
  /** What was last told of this instance, which sums of peers include. */
  let told: AccountWorkFigures | null = null;
  let snapshot: Snapshot | null = null;

  /** The figures of this instance and of the peers that told it theirs. */
  function sumUp(now: number): AccountWorkFigures {
    return mergeAccountWork([own.getFigures(now), ...listFresh(peers, now)]);
  }

  /** The figures of most instances, but without this one; null without any. */
  function collectOthers(now: number): AccountWorkFigures | null {
    const direct = listFresh(peers, now);
    const [widest] = listFresh(sums, now).sort(
      (left, right) =>
        right.instances - left.instances ||
        left.ageMilliseconds - right.ageMilliseconds,
    );
    if (widest !== undefined && widest.instances > direct.length + 1) {
      return mergeAccountWork([widest], told);
    }
    return direct.length > 0 ? mergeAccountWork(direct) : null;
  }

  function takeSnapshot(now: number): Snapshot {
    const others = collectOthers(now);
    const current = own.getFigures(now);
    const all = others === null ? current : mergeAccountWork([current, others]);
    const demands = Array.from(all.accounts.values(), (figure) => ({
      milliseconds: figure.workMilliseconds + figure.refusedMilliseconds,
      accounts: 1,
    }));
    let room = all.others.workMilliseconds;
    for (const {workMilliseconds} of all.accounts.values()) {
      room += workMilliseconds;
    }
    const {accounts} = all.others;
    if (accounts > 0) {
      const {workMilliseconds, refusedMilliseconds} = all.others;
      const sum = workMilliseconds + refusedMilliseconds;
      demands.push({milliseconds: sum / accounts, accounts});
    }
    return {
      takenAt: now,
      others,
      shareMilliseconds: getFairLevel(room, demands),
      instances: all.instances,
    };
  }

  function isRecent({refusedAgeMilliseconds}: AccountWorkFigures): boolean {
    return refusedAgeMilliseconds <= TELL_MILLISECONDS;
  }

  return {
    startCall: own.startCall,
    recordRefusal: own.recordRefusal,
    recordReport(peer, report, now) {
      peers.set(peer, {figures: readAccountWork(report), receivedAt: now});
    },
    recordSum(peer, report, now) {
      sums.set(peer, {figures: readAccountWork(report), receivedAt: now});
    },
    createReport(now) {
      const figures = own.getFigures(now);
      const isNeeded =
        isRecent(sumUp(now)) || listFresh(sums, now).some(isRecent);
      told = isNeeded ? figures : null;
      return isNeeded ? writeAccountWork(figures, TELL_MILLISECONDS) : null;
    },
    createSum(now) {
      const figures = sumUp(now);
      return isRecent(figures)
        ? writeAccountWork(figures, TELL_MILLISECONDS)
        : null;
    },
    getStanding(account, now) {
      if (snapshot === null || now - snapshot.takenAt > SNAPSHOT_MILLISECONDS) {
        snapshot = takeSnapshot(now);
      }
      const {takenAt, others, shareMilliseconds, instances} = snapshot;
      const workMilliseconds =
        own.getWork(account) +
        (others?.accounts.get(account)?.workMilliseconds ?? 0);
      const ageMilliseconds = (others?.ageMilliseconds ?? 0) + now - takenAt;
      return {
        isOver:
          workMilliseconds > shareMilliseconds + MINIMUM_EXCESS_MILLISECONDS,
        workMilliseconds,
        shareMilliseconds,
        instances,
        ageMilliseconds,
      };
    },
  };
}
