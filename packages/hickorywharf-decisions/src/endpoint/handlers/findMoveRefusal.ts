import type {Frame} from 'hickorywharf-types/frame';
import type {RefusalReason} from 'hickorywharf-types/refusalReason';
import {isExclusiveToHalf} from '../../homes/isExclusiveToHalf.ts';
import type {EndpointState} from '../endpointState.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;

/**
 * Why a move of the request's route or account between halves forbids to run a
 * key here for now, or null. Only one half's home may run it, whichever
 * configuration the entries hold.
 *
 * @example
 *     findMoveRefusal(state, frame, issueTime, part); // null: no objection
 */
export function findMoveRefusal(
  state: EndpointState,
  frame: AttemptFrame,
  issueTime: number,
  part: number,
): RefusalReason | null {
  const {configuration, homes} = state;
  const known = frame.assignmentSequence ?? 0;
  if (known > (configuration?.assignmentSequence ?? 0)) {
    return 'staleConfiguration';
  }
  const {pool, half} = frame;
  for (const record of [`account/${frame.account}`, `route/${frame.route}`]) {
    for (const move of configuration?.halfMoves.get(record) ?? []) {
      if (issueTime < move.issuedFrom) continue;
      if (known < move.sequence) return 'staleConfiguration';
      const place = {pool, half, part, issueTime};
      if (!isExclusiveToHalf(homes, place, move.sequence)) {
        return 'homeUnsettled';
      }
    }
  }
  return null;
}
