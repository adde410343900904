import {applyChanges} from 'hickorywharf-configuration/applyChanges';
import {loadConfiguration} from 'hickorywharf-configuration/loadConfiguration';
import {createStoreClient} from 'hickorywharf-platform/createStoreClient';
import {sleep} from 'hickorywharf-utils/sleep';

interface AcceptedChange {
  readonly sequence: number;
  readonly wallMilliseconds: number;
}

interface WriteRoutesOptions {
  readonly storeUrl: string;
  readonly count: number;
  /** Time from the start of one change to that of the next. */
  readonly spacingMilliseconds: number;
  readonly seed: number;
}

const ROUTE_COUNT = 50;

/**
 * Writes configuration changes one after another, each of one route.
 *
 * @returns sequence and wall time of each accepted change, in order
 * @throws Error if the log cannot be read or a change is not accepted
 * @example
 *     await writeRoutes({storeUrl, count: 200, spacingMilliseconds: 5, seed: 1});
 */
export async function writeRoutes(
  options: WriteRoutesOptions,
): Promise<AcceptedChange[]> {
  const {storeUrl, count, spacingMilliseconds, seed} = options;
  const store = createStoreClient(storeUrl);
  const loaded = await loadConfiguration(store);
  if (loaded.isErr()) throw new Error(loaded.error.message);
  const firstSequence = loaded.value.log.sequence + 1;
  const accepted: AcceptedChange[] = [];
  const startedAt = performance.now();
  for (let index = 0; index < count; index += 1) {
    const dueAt = startedAt + index * spacingMilliseconds;
    await sleep(Math.max(0, dueAt - performance.now()));
    const sequence = firstSequence + index;
    const name = `route-${(seed + index) % ROUTE_COUNT}`;
    const document = {
      kind: 'route',
      schemaVersion: 2,
      name,
      pipeline: 'encode',
      half: null,
      change: sequence,
    };
    const changes = [{kind: 'route', name, document}];
    const operation = `change-${sequence}`;
    const entry = {sequence, operation, changes};
    // No log slot is reused within an experiment, so each one is still empty.
    const outcome = await applyChanges(store, entry, 0);
    if (outcome.tag !== 'accepted') throw new Error(JSON.stringify(outcome));
    accepted.push({sequence, wallMilliseconds: Date.now()});
  }
  return accepted;
}
