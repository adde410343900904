import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {getCapacityClass} from './getCapacityClass.ts';

/**
 * Orders instances for a task on behalf of the others: those with more capacity
 * first, and those with about the same in the rendezvous order of the task.
 * Every instance with the same list computes the same order.
 *
 * @param instances `capacity` is in cores, as `getCapacity` returns it
 * @example
 *     rankByCapacity('reader', [{name: 'x', capacity: 0.5}]); // ['x']
 */
export function rankByCapacity(
  task: string,
  instances: ReadonlyArray<{readonly name: string; readonly capacity: number}>,
): string[] {
  const classes = new Map(
    instances.map(({name, capacity}) => [name, getCapacityClass(capacity)]),
  );
  return orderByRendezvous(task, classes.keys()).sort(
    (left, right) => classes.get(right)! - classes.get(left)!,
  );
}
