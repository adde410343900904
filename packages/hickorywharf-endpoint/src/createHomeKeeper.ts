import type {EndpointState} from 'hickorywharf-decisions/endpoint/endpointState';
import {getHomePart} from 'hickorywharf-decisions/homes/getHomePart';
import {fetchInstances} from 'hickorywharf-platform/fetchInstances';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {Clock} from 'hickorywharf-utils/clock';
import {sleep} from 'hickorywharf-utils/sleep';
import type {endpointSettings} from 'hickorywharf-validation/endpointSettings';
import type {z} from 'zod';
import {keepHomes} from './keepHomes.ts';

interface HomeKeeperOptions {
  readonly settings: z.infer<typeof endpointSettings>;
  readonly incarnation: string;
  readonly state: EndpointState;
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly random: () => number;
  readonly onKnown: (homes: readonly HomeInterval[]) => void;
  readonly onReleasing: (homes: readonly HomeInterval[]) => void;
}

interface HomeKeeper {
  /** Releases the homes, as far as the store lets it. */
  stop(): Promise<void>;
}

const MILLISECONDS_PER_SECOND = 1000;
const PAUSE_MILLISECONDS = 500;
const RELEASE_TRIES = 5;

function getLatestIssueTimes(state: EndpointState): Map<number, number> {
  const latest = new Map<number, number>();
  for (const {idempotencyKey, issueTime} of state.actions.rows()) {
    const part = getHomePart(idempotencyKey, state.homeParts);
    latest.set(part, Math.max(latest.get(part) ?? 0, issueTime));
  }
  return latest;
}

/**
 * Keeps this endpoint's share of its pool's homes in the store for as long as
 * it runs. Does nothing where the settings name no pool.
 *
 * @example
 *     const keeper = createHomeKeeper(options);
 *     await keeper.stop();
 */
export function createHomeKeeper(options: HomeKeeperOptions): HomeKeeper {
  const {settings, incarnation, state, store, clock, random} = options;
  const {pool, parts, intervalSeconds} = settings.homes;
  const {name} = settings.process;
  if (pool === '') return {stop: () => Promise.resolve()};
  let members: readonly string[] = [];
  let stopped = false;

  function isMember(endpoint: string): boolean {
    const record = state.configuration?.endpoints.get(endpoint);
    return record?.pool === pool && !record.draining;
  }

  async function refreshMembers(): Promise<void> {
    const listed = await fetchInstances(settings.platform.instancesUrl);
    if (listed.isErr()) return;
    members = listed.value
      .filter(
        ({role, state: listedState}) =>
          role === 'endpoint' && listedState === 'live',
      )
      .map((instance) => instance.name)
      .filter(isMember);
  }

  function keep(): Promise<boolean> {
    return keepHomes({
      store,
      onReleasing: options.onReleasing,
      onKnown: ({intervals}) => options.onKnown(intervals),
      getPlanOptions: () => ({
        pool,
        parts,
        name,
        incarnation,
        members,
        leaving: state.leaving,
        wallNow: clock.wall(),
        lengthMilliseconds: intervalSeconds * MILLISECONDS_PER_SECOND,
        latestIssueTimes: getLatestIssueTimes(state),
      }),
    });
  }

  async function run(): Promise<void> {
    while (!stopped) {
      await refreshMembers();
      if (members.length > 0) await keep();
      await sleep(PAUSE_MILLISECONDS * (0.5 + random()));
    }
  }

  const finished = run();
  return {
    async stop() {
      stopped = true;
      await finished;
      for (let tries = 0; tries < RELEASE_TRIES; tries += 1) {
        if (await keep()) return;
        await sleep(PAUSE_MILLISECONDS * random());
      }
    },
  };
}
