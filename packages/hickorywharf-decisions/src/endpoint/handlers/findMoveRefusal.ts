import type {Frame} from 'hickorywharf-types/frame';
import type {RefusalReason} from 'hickorywharf-types/refusalReason';
import {isExclusiveToHalf} from '../../homes/isExclusiveToHalf.ts';
import type {EndpointState} from '../endpointState.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;

/**
 * Finds the reason why a move of the request's route or account between halves
 * forbids running a key here for now, or null. Only the home of one half may
 * run the key, whichever configuration the entries have.
 *
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
  const known = frame.assignmentSequence ?? 0;
  if (known > (configuration?.assignmentSequence ?? 0)) {
    return 'staleConfiguration';
  }
  const {pool, half} = frame;
  for (const record of [`account/${frame.account}`, `route/${frame.route}`]) {
    for (const move of configuration?.halfMoves.get(record) ?? []) {
      if (issueTime < move.issuedFrom) continue;
      if (known < move.sequence) return 'staleConfiguration';
      const position = {pool, half, part, issueTime};
      if (!isExclusiveToHalf(homes, position, move.sequence)) {
        return 'homeUnsettled';
      }
    }
  }
  return null;
}
