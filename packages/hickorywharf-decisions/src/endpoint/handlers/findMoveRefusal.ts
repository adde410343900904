import type {Frame} from 'hickorywharf-types/frame';
import type {RefusalReason} from 'hickorywharf-types/refusalReason';
import {isKeyExclusiveToHalf} from '../../homes/isKeyExclusiveToHalf.ts';
import type {EndpointState} from '../endpointState.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;

/**
 * Finds the reason why a move of the request's route or account between halves
 * forbids running a key here for now, or null. Only the home of one half may
 * run the key, whichever configuration the entries have, so the entry and this
 * process must both know the moves that concern the key.
 *
 * @param issueTime milliseconds since the Unix epoch
 * @param part number of the key's partition
 * @example
 *     findMoveRefusal(state, frame, issueTime, part); // null if allowed
 */
export function findMoveRefusal(
  state: EndpointState,
  frame: AttemptFrame,
  issueTime: number,
  part: number,
): RefusalReason | null {
  const {configuration, homes} = state;
  // Without a sequence, the entry counts as knowing no move.
  const entrySequence = frame.assignmentSequence ?? 0;
  if (entrySequence > (configuration?.assignmentSequence ?? 0)) {
    return 'staleConfiguration';
  }
  const {pool, half} = frame;
  for (const record of [`account/${frame.account}`, `route/${frame.route}`]) {
    for (const move of configuration?.halfMoves.get(record) ?? []) {
      if (issueTime < move.issuedFrom) continue;
      if (entrySequence < move.sequence) return 'staleConfiguration';
      const placement = {pool, half, part, issueTime};
      if (!isKeyExclusiveToHalf(homes, placement, move.sequence)) {
        return 'homeUnsettled';
      }
    }
  }
  return null;
}
