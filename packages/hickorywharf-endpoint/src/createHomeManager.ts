import type {EndpointState} from 'hickorywharf-decisions/endpoint/endpointState';
import {createHomeRecordWriter} from 'hickorywharf-decisions/homes/createHomeRecordWriter';
import {createOwnerCache} from 'hickorywharf-decisions/homes/createOwnerCache';
import {createHomePlanOptions} from 'hickorywharf-decisions/homes/createHomePlanOptions';
import type {HomeRecord} from 'hickorywharf-decisions/homes/homeRecord';
import {fetchInstances} from 'hickorywharf-platform/fetchInstances';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {Clock} from 'hickorywharf-utils/clock';
import {sleep} from 'hickorywharf-utils/sleep';
import type {endpointSettings} from 'hickorywharf-validation/endpointSettings';
import type {z} from 'zod';

interface HomeManagerOptions {
  readonly settings: z.infer<typeof endpointSettings>;
  readonly state: EndpointState;
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly random: () => number;
  /** What proves that a predecessor in this slot is gone; see `getListenerSlot`. */
  readonly slot: string;
  /** Told of a record only once it was seen in the store. */
  readonly onRecord: (record: HomeRecord, revision: number) => void;
  /** Told of the homes to be given up before that is written. */
  readonly onReleasing: (homes: readonly HomeInterval[]) => void;
}

interface HomeManager {
  /** Releases the homes, as far as the store lets it. */
  stop(): Promise<void>;
}

const MILLISECONDS_PER_SECOND = 1000;
/** Pause between looks at members and intervals; none of them is a call. */
const PLAN_MILLISECONDS = 250;
const MEMBERS_MILLISECONDS = 1000;
/** How long one watch of the record waits. */
const WATCH_MILLISECONDS = 30_000;
const RETRY_MILLISECONDS = 500;
const MAXIMUM_RETRY_MILLISECONDS = 8000;
const RELEASE_TRIES = 8;

/**
 * Keeps this endpoint's share of its pool's homes in the store for as long as
 * it runs: one watch that waits, and a write now and then. Does nothing where
 * the settings name no pool.
 *
 * @example
 *     const keeper = createHomeManager(options);
 *     await keeper.stop();
 */
export function createHomeManager(options: HomeManagerOptions): HomeManager {
  const {settings, state, store, clock, random, slot} = options;
  const {pool, intervalSeconds, aheadSeconds} = settings.homes;
  if (pool === '') return {stop: () => Promise.resolve()};
  const key = `homes/${pool}`;
  const agent = createHomeRecordWriter();
  const ownerCache = createOwnerCache();
  let listed: ReadonlySet<string> = new Set();
  let failures = 0;
  let stopped = false;

  function see(record: HomeRecord | null, seenRevision: number): void {
    agent.observe(record, seenRevision);
    if (record !== null) options.onRecord(record, seenRevision);
  }

  function pauseAfterFailure(): Promise<void> {
    failures += 1;
    const limit = Math.min(
      MAXIMUM_RETRY_MILLISECONDS,
      RETRY_MILLISECONDS * 2 ** failures,
    );
    return sleep(limit * (0.5 + random() / 2));
  }

  async function read(): Promise<boolean> {
    const item = await store.get(key);
    if (item.isErr()) return false;
    const {value = null, revision = 0} = item.value ?? {};
    see(value as HomeRecord | null, revision);
    return true;
  }

  /** One step; false where the store gave no answer. */
  async function step(): Promise<boolean> {
    if (agent.needsRead && !(await read())) return false;
    const write = agent.plan(
      createHomePlanOptions(state, {
        pool,
        slot,
        listed,
        ownerCache,
        wallNow: clock.wall(),
        monotonicNow: clock.monotonic(),
        intervalMilliseconds: intervalSeconds * MILLISECONDS_PER_SECOND,
        maximumSkewMilliseconds: aheadSeconds * MILLISECONDS_PER_SECOND,
      }),
    );
    if (write === null) return true;
    options.onReleasing(write.releasing);
    const {record, expectedRevision} = write;
    const written = await store.compareAndSwap(key, record, expectedRevision);
    if (written.isErr()) {
      agent.complete({tag: 'unsettled'});
      return written.error.tag === 'conflict';
    }
    agent.complete({tag: 'written', revision: written.value});
    options.onRecord(record, written.value);
    return true;
  }

  async function followMembers(): Promise<void> {
    while (!stopped) {
      const instances = await fetchInstances(settings.platform.instancesUrl);
      if (instances.isOk()) {
        const live = instances.value.filter(
          ({role, state: listedState}) =>
            role === 'endpoint' && listedState === 'live',
        );
        listed = new Set(live.map(({name}) => name));
      }
      await sleep(MEMBERS_MILLISECONDS * (0.5 + random()));
    }
  }

  async function followRecord(): Promise<void> {
    // The prefix may match other pools, whose changes must not wake it twice.
    let watched = 0;
    while (!stopped) {
      const changed = await store.watch(key, watched, WATCH_MILLISECONDS);
      if (stopped) return;
      if (changed.isErr()) {
        await sleep(MAXIMUM_RETRY_MILLISECONDS * (0.5 + random() / 2));
        continue;
      }
      for (const item of changed.value.items) {
        watched = Math.max(watched, item.revision);
        if (item.key !== key) continue;
        see(item.value as HomeRecord, item.revision);
      }
    }
  }

  async function plan(): Promise<void> {
    while (!stopped) {
      // Without the list nobody could be told from a member that is gone.
      const isDone = listed.size === 0 || (await step());
      if (isDone) {
        failures = 0;
        await sleep(PLAN_MILLISECONDS * (0.5 + random()));
      } else {
        await pauseAfterFailure();
      }
    }
  }

  const planning = plan();
  void followMembers();
  void followRecord();
  return {
    async stop() {
      stopped = true;
      await Promise.race([planning, sleep(RETRY_MILLISECONDS)]);
      for (let tries = 0; tries < RELEASE_TRIES; tries += 1) {
        const isDone = (await step()) && !holdsHome();
        if (isDone) return;
        await sleep(RETRY_MILLISECONDS * random());
      }
    },
  };

  function holdsHome(): boolean {
    return state.homes.record.intervals.some(
      ({incarnation, released}) =>
        incarnation === state.incarnation && !released,
    );
  }
}
