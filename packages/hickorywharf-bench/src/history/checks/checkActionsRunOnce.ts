import type {HistoryCheck} from '../historyCheck.ts';

/**
 * An action runs at most once for each idempotency key.
 *
 * @example
 *     checkActionsRunOnce(history);
 */
export const checkActionsRunOnce: HistoryCheck = (history) => {
  const runs = Map.groupBy(
    history.select('actionRan'),
    (event) => event.idempotencyKey,
  );
  return [...runs.entries()].flatMap(([key, ran]) =>
    ran.length <= 1
      ? []
      : [{detail: `key ${key} ran ${ran.length} times`, events: ran}],
  );
};
