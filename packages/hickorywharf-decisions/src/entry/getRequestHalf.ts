import {getIssueTime} from 'hickorywharf-utils/getIssueTime';
import type {ConfigurationView} from '../configuration/configurationView.ts';
import {getHalfAtIssueTime} from '../configuration/getHalfAtIssueTime.ts';

interface RequestOrigin {
  readonly route: string;
  readonly accountKeyHash: string;
  readonly idempotencyKey: string | null;
}

/**
 * Returns the half that serves a request: that of its route, or else of its
 * client account, at the issue time of its idempotency key. Without a key that
 * has an issue time, the current half applies.
 *
 * @example
 *     getRequestHalf(configuration, request); // null: shared by both halves
 */
export function getRequestHalf(
  configuration: ConfigurationView,
  origin: RequestOrigin,
): string | null {
  const issueTime = getIssueTime(origin.idempotencyKey ?? '');
  const route = configuration.routes.get(origin.route);
  const account = configuration.accountsByKeyHash.get(origin.accountKeyHash);
  const getHalf = (record: string, half: string | null) =>
    getHalfAtIssueTime(
      half,
      configuration.halfMoves.get(record) ?? [],
      issueTime,
    );
  return (
    getHalf(`route/${origin.route}`, route?.half ?? null) ??
    // An account that is no longer declared has no half.
    getHalf(`account/${account?.name}`, account?.half ?? null)
  );
}
