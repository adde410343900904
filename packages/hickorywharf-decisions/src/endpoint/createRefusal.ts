import type {AttemptKey} from 'hickorywharf-types/attemptKey';
import type {Frame} from 'hickorywharf-types/frame';
import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {RefusalReason} from 'hickorywharf-types/refusalReason';

type RefusedFrame = Extract<Frame, {tag: 'refused'}>;

const MESSAGES: Record<RefusalReason, string> = {
  leaving: 'The endpoint is leaving and accepts no new work.',
  queueFull: "The endpoint's queue is full.",
  cannotFinish: 'The endpoint cannot finish the attempt within its deadline.',
  tombstoned: 'The entry withdrew the attempt before it started.',
  wrongHome: 'Another endpoint is the home of this key.',
  keyOutsideInterval:
    'No endpoint is the home of keys with this issue time yet.',
  keyForgotten:
    'The key was issued before the interval of this home, or its outcome is no longer retained; whether it ran is unknown.',
  keyInvalid: 'The action has no Idempotency-Key.',
  keyClaimed: 'The key was claimed before; whether it ran is unknown here.',
  claimUnavailable:
    'The key has no issue time, and the store did not confirm a claim.',
  homeUnsettled: 'An earlier home of this key may still be able to run it.',
  homeLeft: 'The only home of keys with this issue time accepts no new work.',
  staleConfiguration:
    'The entry and the endpoint do not know the same moves between halves yet.',
  otherHalf: 'The endpoint belongs to another half.',
  backendUnreachable: 'The backend could not be reached.',
  malformed: 'The attempt is malformed.',
};

/**
 * Builds the refusal frame of an attempt. A refusal asserts that this attempt
 * did not run; another attempt with the same key may have run.
 *
 * @param homes intervals of the key's partition to send along, so that the
 *   entry can find the home
 * @example
 *     createRefusal(frame, 'leaving').tag; // 'refused'
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
