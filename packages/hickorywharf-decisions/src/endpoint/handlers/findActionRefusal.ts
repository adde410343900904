import type {Frame} from 'hickorywharf-types/frame';
import {getIssueTime} from 'hickorywharf-utils/getIssueTime';
import {getHomePart} from '../../homes/getHomePart.ts';
import {createRefusal} from '../createRefusal.ts';
import type {EndpointState} from '../endpointState.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;
type RefusedFrame = Extract<Frame, {tag: 'refused'}>;

/**
 * Whether this process may not run a key that it does not remember. It may
 * only where it is home to the key's part and the issue time inside the key
 * lies in its interval: intervals are disjoint, so no clock has to be right.
 *
 * @example
 *     findActionRefusal(state, frame); // null: it may run
 */
export function findActionRefusal(
  state: EndpointState,
  frame: AttemptFrame,
): RefusedFrame | null {
  const key = frame.idempotencyKey ?? '';
  const issueTime = getIssueTime(key);
  if (issueTime === null) return createRefusal(frame, 'keyInvalid');
  const part = getHomePart(key, state.homeParts);
  const home = state.homes.get(`${frame.pool}/${part}`);
  if (home === undefined) return createRefusal(frame, 'keyOutsideInterval');
  const isHome =
    home.home === state.name && home.incarnation === state.incarnation;
  if (!isHome) return createRefusal(frame, 'wrongHome', [home]);
  if (issueTime < Math.max(home.from, state.watermark)) {
    return createRefusal(frame, 'keyForgotten');
  }
  const release = state.releases.get(`${frame.pool}/${part}`);
  const until =
    release?.epoch === home.epoch
      ? Math.min(release.until, home.until)
      : home.until;
  if (issueTime >= until) {
    return createRefusal(frame, 'keyOutsideInterval');
  }
  return null;
}
