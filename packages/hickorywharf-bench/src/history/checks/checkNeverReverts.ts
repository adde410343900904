import type {HistoryCheck} from '../historyCheck.ts';

/**
 * Within one incarnation the sequence in force only grows. A new incarnation
 * keeps nothing, so it may start behind its predecessor; how soon it must
 * catch up is what the check of the time to be in force verifies.
 *
 * @example
 *     checkNeverReverts(history);
 */
export const checkNeverReverts: HistoryCheck = (history) => {
  const inForce = Map.groupBy(
    history.select('configurationInForce'),
    ({process, incarnation}) => `${process}/${incarnation}`,
  );
  return [...inForce.values()].flatMap((changes) =>
    changes.flatMap((change, index) => {
      const before = changes[index - 1];
      if (before === undefined || change.sequence > before.sequence) return [];
      return [
        {
          detail: `${change.process} went from ${before.sequence} to ${change.sequence}`,
          events: [before, change],
        },
      ];
    }),
  );
};
