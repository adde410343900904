import type {HistoryCheck} from '../historyCheck.ts';

/**
 * No order of an old holder takes effect at an engine after an order of its
 * successor, whether the engine checks fencing numbers or not.
 *
 * @example
 *     checkOrders(history);
 */
export const checkOrders: HistoryCheck = (history) => {
  const orders = Map.groupBy(
    history.select('orderApplied'),
    (event) => event.engine,
  );
  return [...orders.values()].flatMap((applied) =>
    applied.flatMap((order, index) => {
      const newer = applied
        .slice(0, index)
        .find(({fencingNumber}) => fencingNumber > order.fencingNumber);
      if (newer === undefined) return [];
      return [
        {
          detail: `${order.engine} applied order ${order.fencingNumber} of ${order.holder} after ${newer.fencingNumber} of ${newer.holder}`,
          events: [newer, order],
        },
      ];
    }),
  );
};
