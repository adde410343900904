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
import type * as z from 'zod';

interface HomeManagerOptions {
  readonly settings: z.infer<typeof endpointSettings>;
  readonly state: EndpointState;
  readonly store: StoreClient;
  readonly clock: Clock;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** Identifies the listener that this process holds; see `getListenerSlot`. */
  readonly slot: string;
  /** Called with each record that was read from or written to the store. */
  readonly onRecord: (record: HomeRecord, revision: number) => void;
  /** Called before a write, with the released intervals that it contains. */
  readonly onReleasing: (homes: readonly HomeInterval[]) => void;
}

interface HomeManager {
  /**
   * Releases the homes. Resolves even if no attempt to release them succeeds;
   * successors then wait until the intervals end.
   */
  stop(): Promise<void>;
}

const MILLISECONDS_PER_SECOND = 1000;
/** Mean pause between planning steps, which rarely need a call to the store. */
const PLAN_INTERVAL_MILLISECONDS = 250;
/** Mean pause between polls of the platform's list of instances. */
const INSTANCES_INTERVAL_MILLISECONDS = 1000;
/** Time after which a watch without changes is renewed. */
const WATCH_TIMEOUT_MILLISECONDS = 30_000;
/** Base of the exponential backoff; also bounds the pauses during a release. */
const RETRY_MILLISECONDS = 500;
/** Bounds the backoff; also the longest pause after a failed watch. */
const MAXIMUM_RETRY_MILLISECONDS = 8000;
/** Planning steps that `stop` runs at most. */
const RELEASE_ATTEMPTS = 8;

/**
 * Maintains the homes of this endpoint in the store while the process runs. One
 * watch on the record stays open, and writes happen only when planning changes
 * the record. Does nothing if the settings name no pool.
 *
 * @example
 *     const manager = createHomeManager(options);
 *     await manager.stop();
 */
export function createHomeManager(options: HomeManagerOptions): HomeManager {
  const {settings, state, store, clock, random, slot} = options;
  const {pool, intervalSeconds, aheadSeconds} = settings.homes;
  if (pool === '') return {stop: () => Promise.resolve()};
  const key = `homes/${pool}`;
  const writer = createHomeRecordWriter();
  const ownerCache = createOwnerCache();
  let listed: ReadonlySet<string> = new Set();
  let failures = 0;
  let stopped = false;

  function observe(record: HomeRecord | null, readRevision: number): void {
    writer.observe(record, readRevision);
    if (record !== null) options.onRecord(record, readRevision);
  }

  function backOff(): Promise<void> {
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
    observe(value as HomeRecord | null, revision);
    return true;
  }

  /**
   * Plans once, and writes if the record is to change. Resolves to false if the
   * store did not respond. A conflict is a response: the next step reads the
   * record first.
   */
  async function step(): Promise<boolean> {
    if (writer.needsRead && !(await read())) return false;
    const write = writer.plan(
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
      writer.complete({tag: 'ambiguous'});
      return written.error.tag === 'conflict';
    }
    writer.complete({tag: 'written', revision: written.value});
    options.onRecord(record, written.value);
    return true;
  }

  async function pollInstances(): Promise<void> {
    while (!stopped) {
      const instances = await fetchInstances(settings.platform.instancesUrl);
      if (instances.isOk()) {
        const live = instances.value.filter(
          ({role, state: listedState}) =>
            role === 'endpoint' && listedState === 'live',
        );
        listed = new Set(live.map(({name}) => name));
      }
      await sleep(INSTANCES_INTERVAL_MILLISECONDS * (0.5 + random()));
    }
  }

  async function followRecord(): Promise<void> {
    // The key is watched as a prefix, so the watch may return records of other
    // pools. They advance the revision too, so that they are not returned
    // again.
    let watched = 0;
    while (!stopped) {
      const changed = await store.watch(
        key,
        watched,
        WATCH_TIMEOUT_MILLISECONDS,
      );
      if (stopped) return;
      if (changed.isErr()) {
        await sleep(MAXIMUM_RETRY_MILLISECONDS * (0.5 + random() / 2));
        continue;
      }
      for (const item of changed.value.items) {
        watched = Math.max(watched, item.revision);
        if (item.key !== key) continue;
        observe(item.value as HomeRecord, item.revision);
      }
    }
  }

  async function runPlanning(): Promise<void> {
    while (!stopped) {
      // With no list, or an empty one, it is unknown which endpoints are live,
      // so nothing is planned.
      const isDone = listed.size === 0 || (await step());
      if (isDone) {
        failures = 0;
        await sleep(PLAN_INTERVAL_MILLISECONDS * (0.5 + random()));
      } else {
        await backOff();
      }
    }
  }

  const planning = runPlanning();
  void pollInstances();
  void followRecord();
  return {
    async stop() {
      stopped = true;
      await Promise.race([planning, sleep(RETRY_MILLISECONDS)]);
      for (let count = 0; count < RELEASE_ATTEMPTS; count += 1) {
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
