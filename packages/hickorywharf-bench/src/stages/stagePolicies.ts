import {planBatch} from 'hickorywharf-decisions/gateway/planBatch';
import type {PieceGroup} from 'hickorywharf-decisions/gateway/pieceGroup';
import type {StagePolicy} from './stagePolicy.ts';

/** One request's pieces a call, first come first served. */
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

/** Calls filled with pieces in the order in which they came. */
function planInOrder(
  ...[waiting, , endpoint]: Parameters<typeof planBatch<PieceGroup>>
): ReturnType<typeof planBatch<PieceGroup>> {
  const shares: ReturnType<typeof planBatch<PieceGroup>> = [];
  let slots = endpoint.batch;
  let room = endpoint.roomBytes;
  for (const group of waiting) {
    const fitting = Math.floor(room / group.resultBytes);
    const count = Math.min(group.count, slots, fitting);
    if (count <= 0) break;
    shares.push({group, count});
    slots -= count;
    room -= count * group.resultBytes;
  }
  return shares;
}

/** Ways to fill the calls of a stage, by name; the first ones are baselines. */
export const stagePolicies = {
  oneRequest: {plan: planOneRequest, isAdmitting: false},
  inOrder: {plan: planInOrder, isAdmitting: false},
  groups: {plan: planBatch, isAdmitting: false},
  groupsAtTheDoor: {plan: planBatch, isAdmitting: true},
  groupsInTime: {plan: planBatch, isAdmitting: true, isDelaying: true},
} satisfies Record<string, StagePolicy>;
