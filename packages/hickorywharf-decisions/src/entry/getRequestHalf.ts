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
 * client account, at the issue time of its idempotency key.
 *
 * @example
 *     getRequestHalf(configuration, request); // null: either half
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
    getHalf(`account/${account?.name}`, account?.half ?? null)
  );
}
