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
  keyInvalid: 'The Idempotency-Key must be a UUID version 7.',
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
