import type {HistoryCheck} from '../historyCheck.ts';

/**
 * An engine applies no order of an earlier holder after an order of its
 * successor, whether or not the engine checks fencing numbers.
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
