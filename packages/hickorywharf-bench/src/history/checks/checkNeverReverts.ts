import type {HistoryCheck} from '../historyCheck.ts';

/**
 * Within one incarnation the active sequence only increases. A new incarnation
 * starts without any state, so it may be behind its predecessor at first;
 * `checkActivationTime` verifies how soon it catches up.
 *
 * @example
 *     checkNeverReverts(history);
 */
export const checkNeverReverts: HistoryCheck = (history) => {
  const activations = Map.groupBy(
    history.select('configurationInForce'),
    ({process, incarnation}) => `${process}/${incarnation}`,
  );
  return [...activations.values()].flatMap((changes) =>
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
