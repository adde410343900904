import type {AttemptKey} from 'hickorywharf-types/attemptKey';
import type {Frame} from 'hickorywharf-types/frame';
import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {RefusalReason} from 'hickorywharf-types/refusalReason';

type RefusedFrame = Extract<Frame, {tag: 'refused'}>;

const MESSAGES: Record<RefusalReason, string> = {
  leaving: 'The endpoint is leaving and takes no new work.',
  queueFull: "The endpoint's queue is full.",
  cannotFinish: 'The endpoint cannot finish this within the deadline.',
  tombstoned: 'The entry gave this attempt up before it began.',
  wrongHome: 'Another endpoint is home to this key.',
  keyOutsideInterval: 'No endpoint is home to keys of this issue time yet.',
  keyForgotten:
    'The key was issued before this home was in charge, or is no longer remembered; whether it ran cannot be told.',
  keyInvalid: 'The action came without an Idempotency-Key.',
  keyClaimed:
    'The key has been used before; whether it ran cannot be told here.',
  claimUnavailable:
    'The key has no issue time and the store cannot be asked for a claim.',
  homeUnsettled:
    'The interval of the predecessor of this home has not ended yet.',
  homeLeft: 'The only home of keys of this issue time takes no new work.',
  staleConfiguration:
    'Entry and endpoint do not yet know the same moves between halves.',
  otherHalf: 'The endpoint belongs to the other half.',
  backendUnreachable: 'The backend could not be reached.',
  malformed: 'The attempt cannot be read.',
};

/**
 * The refusal of an attempt that truly did not run.
 *
 * @example
 *     createRefusal(frame, 'leaving');
 */
export function createRefusal(
  attempt: AttemptKey,
  reason: RefusalReason,
  homes: readonly HomeInterval[] = [],
): RefusedFrame {
  const {requestId, stageIndex, attemptId} = attempt;
  return {
    tag: 'refused',
    requestId,
    stageIndex,
    attemptId,
    reason,
    message: MESSAGES[reason],
    homes,
  };
}
