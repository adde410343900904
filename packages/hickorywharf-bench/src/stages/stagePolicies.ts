import {planBatch} from 'hickorywharf-decisions/gateway/planBatch';
import type {PieceGroup} from 'hickorywharf-decisions/gateway/pieceGroup';
import type {StagePolicy} from './stagePolicy.ts';

/** Fills a call with pieces of a single request, first come first served. */
function planOneRequest(
  ...[waiting, , endpoint]: Parameters<typeof planBatch<PieceGroup>>
): ReturnType<typeof planBatch<PieceGroup>> {
  for (const group of waiting) {
    const fitting = Math.floor(endpoint.roomBytes / group.resultBytes);
    const count = Math.min(group.count, endpoint.batch, fitting);
    return count > 0 ? [{group, count}] : [];
  }
  return [];
}

/** Fills a call with pieces of several requests, first come first served. */
function planInOrder(
  ...[waiting, , endpoint]: Parameters<typeof planBatch<PieceGroup>>
): ReturnType<typeof planBatch<PieceGroup>> {
  const shares: ReturnType<typeof planBatch<PieceGroup>> = [];
  let slots = endpoint.batch;
  let freeBytes = endpoint.roomBytes;
  for (const group of waiting) {
    const fitting = Math.floor(freeBytes / group.resultBytes);
    const count = Math.min(group.count, slots, fitting);
    if (count <= 0) break;
    shares.push({group, count});
    slots -= count;
    freeBytes -= count * group.resultBytes;
  }
  return shares;
}

/**
 * Policies for the calls of stages, by name; `oneRequest` and `inOrder` are
 * baselines. `groupsAtTheDoor` adds admission control to `groups`, and
 * `groupsInTime` adds delayed stage starts to that, `fairGroups` fair shares of
 * the accounts. `groupsWithWaits` further counts the waits of later stages in the
 * target of a stage.
 */
export const stagePolicies = {
  oneRequest: {plan: planOneRequest, hasAdmission: false},
  inOrder: {plan: planInOrder, hasAdmission: false},
  groups: {plan: planBatch, hasAdmission: false},
  groupsAtTheDoor: {plan: planBatch, hasAdmission: true},
  groupsInTime: {plan: planBatch, hasAdmission: true, hasStartDelay: true},
  fairGroups: {plan: planBatch, hasAdmission: true, hasShares: true},
  groupsWithWaits: {
    plan: planBatch,
    hasAdmission: true,
    hasStartDelay: true,
    hasLaterWaits: true,
  },
} satisfies Record<string, StagePolicy>;
