import {createStreamRecords} from 'hickorywharf-decisions/gateway/createStreamRecords';
import {createVersionHistory} from 'hickorywharf-decisions/gateway/createVersionHistory';
import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import {rankStreamHomes} from 'hickorywharf-decisions/gateway/rankStreamHomes';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {StreamExchange} from 'hickorywharf-types/gateway/streamExchange';
import type {StreamOrigin} from 'hickorywharf-types/gateway/streamOrigin';
import {resolveWithin} from 'hickorywharf-utils/resolveWithin';
import type {createStreamJournal} from './createStreamJournal.ts';
import {createStreamQuestions} from './createStreamQuestions.ts';
import type {createVersionLedger} from './createVersionLedger.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';

interface StreamVersionsOptions {
  /** Name of this instance. */
  readonly name: string;
  readonly state: GatewayState;
  readonly metrics: GatewayMetrics;
  getInstant(): Instant;
  /**
   * Reads the endpoint list from the store, after the call, and applies it;
   * false if that fails. Never rejects.
   */
  confirmEndpoints(): Promise<boolean>;
  /** Keeps records in the store, for instances that start later. */
  readonly journal: Pick<
    ReturnType<typeof createStreamJournal>,
    'add' | 'earlierOrigins'
  >;
  /** Publishes versions to instances that start later. */
  readonly ledger: Pick<
    ReturnType<typeof createVersionLedger>,
    'publish' | 'earlierVersions'
  >;
  /** Sends to a peer by name; false if it could not be sent. */
  send(peer: string, exchange: StreamExchange): boolean;
}

interface FoundVersion {
  readonly version: string;
  /**
   * Where it is known from: a record of this instance, the only version that
   * has served, or a peer.
   */
  readonly source: 'record' | 'onlyVersion' | 'peer';
  /** Age of the record or of the endpoint list; null if a peer knew it. */
  readonly ageMilliseconds: number | null;
}

interface StreamVersions {
  /** Records the current endpoint list, which the store had at `readAt`. */
  recordList(readAt: Instant): void;
  /** Records that a stream began or was resumed. */
  recordBegin(origin: StreamOrigin): void;
  /**
   * The version that began a stream; null if it is not known.
   */
  find(streamId: string, service: string): Promise<FoundVersion | null>;
  /** The endpoints at which streams of a service may begin. */
  listBeginnable(service: string): readonly GatewayEndpoint[];
  /**
   * Drops old records, tells peers of streams whose versions are not evident any
   * more, and keeps in the store those of services with several versions. To be
   * called regularly.
   */
  flush(): void;
  /** The longest time from the begin of a stream to its last resumption. */
  getLifetime(): number;
  /**
   * Handles what another instance sent; resolves with what to reply, if
   * anything.
   */
  handle(exchange: StreamExchange): Promise<StreamExchange | null>;
}

/** Instances that are told of each stream, other than this one. */
const TOLD_HOMES = 2;
/** One more is asked, as the lists of two instances may differ. */
const ASKED_HOMES = 3;
/** A read of the list normally takes a few milliseconds. */
const CONFIRM_TIMEOUT_MILLISECONDS = 400;
/** Allows a peer to confirm its list before it replies. */
const ANSWER_TIMEOUT_MILLISECONDS = CONFIRM_TIMEOUT_MILLISECONDS + 100;
/** A longer wait for what the store had would delay a refusal. */
const STORE_TIMEOUT_MILLISECONDS = ANSWER_TIMEOUT_MILLISECONDS;
/** Bounds the memory for records, to about 20 MB. */
const MAXIMUM_RECORDS = 100_000;
/** Of a stream before the first configuration. */
const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
/** A stream is resumed within its caller's timeout, and may last one more. */
const LIFETIME_FACTOR = 2;
const LIFETIME_MARGIN_MILLISECONDS = 5000;

/**
 * The longest time from the begin of a stream to its last resumption, for all
 * routes of a configuration.
 */
function getLifetime(configuration: GatewayConfiguration | null): number {
  const timeouts = (configuration?.routes ?? [])
    .filter(({kind}) => kind === 'stream')
    .map(({timeoutMilliseconds}) => timeoutMilliseconds);
  const longest =
    timeouts.length > 0 ? Math.max(...timeouts) : DEFAULT_TIMEOUT_MILLISECONDS;
  return LIFETIME_FACTOR * longest + LIFETIME_MARGIN_MILLISECONDS;
}

/**
 * Finds the software version that began a stream, so that it continues at no
 * other one. While a single version serves, it is evident from the endpoint
 * lists, of which the last is read after the question: an older one may lack a
 * version at which another instance has begun the stream since. What was listed
 * before this instance started is known from the versions that all instances
 * publish in the store. Otherwise each
 * instance records the streams that it begins, and tells a few peers that all
 * instances compute from the stream's id. While several versions serve, it also
 * keeps them in the store, as all instances may be lost together.
 *
 * @example
 *     const streams = createStreamVersions(options);
 *     streams.recordBegin({streamId: '9c41', service: 'engines', version: 'v1'});
 *     await streams.find('9c41', 'engines'); // {version: 'v1', ...}
 */
export function createStreamVersions(
  options: StreamVersionsOptions,
): StreamVersions {
  const {name, state, metrics, journal, ledger, getInstant} = options;
  const {confirmEndpoints, send} = options;
  const history = createVersionHistory();
  const records = createStreamRecords(MAXIMUM_RECORDS, () =>
    metrics.count('streamRecords', 'dropped'),
  );
  const questions = createStreamQuestions({
    timeoutMilliseconds: ANSWER_TIMEOUT_MILLISECONDS,
    send,
  });
  let lifetime = getLifetime(null);
  let countedConfiguration: GatewayConfiguration | null = null;

  /** Never falls, as streams may have begun under an earlier configuration. */
  function updateLifetime(): number {
    if (countedConfiguration === state.configuration) return lifetime;
    const isFirst = countedConfiguration === null;
    countedConfiguration = state.configuration;
    const next = getLifetime(state.configuration);
    lifetime = isFirst ? next : Math.max(lifetime, next);
    return lifetime;
  }

  const hasSeveralVersions = (service: string): boolean =>
    history.hasSeveralVersions(service, getInstant(), updateLifetime());

  const findOnlyVersion = (service: string): string | null =>
    history.findOnlyVersion(service, getInstant(), updateLifetime());

  /** Undefined without a record, null if it is of another service. */
  function findRecord(
    streamId: string,
    service: string,
  ): FoundVersion | null | undefined {
    const found = records.find(streamId, getInstant().monotonic);
    if (found === undefined) return undefined;
    const {origin, ageMilliseconds} = found;
    if (origin.service !== service) return null;
    return {version: origin.version, source: 'record', ageMilliseconds};
  }

  async function findLocally(
    streamId: string,
    service: string,
  ): Promise<FoundVersion | null> {
    const recorded = findRecord(streamId, service);
    if (recorded !== undefined) return recorded;
    if (findOnlyVersion(service) === null) return null;
    const isConfirmed = await resolveWithin(confirmEndpoints(), {
      milliseconds: CONFIRM_TIMEOUT_MILLISECONDS,
      otherwise: false,
    });
    metrics.count('streamConfirmations', isConfirmed ? 'read' : 'failed');
    // A peer may have told of the stream meanwhile.
    const recordedSince = findRecord(streamId, service);
    if (recordedSince !== undefined || !isConfirmed) {
      return recordedSince ?? null;
    }
    const version = findOnlyVersion(service);
    if (version === null) return null;
    const ageMilliseconds = state.endpointFreshness.getAge(getInstant());
    return {version, source: 'onlyVersion', ageMilliseconds};
  }

  /** Records what another instance, or an earlier run of this one, keeps. */
  function recordKnown(origins: readonly StreamOrigin[]): void {
    for (const origin of origins) {
      records.record(origin, getInstant().monotonic);
      records.mark(origin.streamId, 'told', 'kept');
    }
  }

  let isStoreRead = false;
  const whenStoreRead = Promise.all([
    journal.earlierOrigins.then(recordKnown),
    ledger.earlierVersions.then((published) => {
      if (published === null) return;
      history.recordPublished(published.versions, published.readAt);
    }),
  ]).then(() => {
    isStoreRead = true;
  });

  /** A function that computes the result for each service once. */
  function rememberByService(
    compute: (service: string) => boolean,
  ): (service: string) => boolean {
    const results = new Map<string, boolean>();
    return (service) => {
      const result = results.get(service) ?? compute(service);
      results.set(service, result);
      return result;
    };
  }

  /** The other instances that keep records of a stream, the first ones first. */
  const listHomes = (streamId: string): string[] =>
    rankStreamHomes(state.instances, streamId).filter((home) => home !== name);

  function tell(origins: readonly StreamOrigin[]): void {
    const byHome = new Map<string, StreamOrigin[]>();
    for (const origin of origins) {
      for (const home of listHomes(origin.streamId).slice(0, TOLD_HOMES)) {
        const list = byHome.get(home) ?? [];
        byHome.set(home, list);
        list.push(origin);
      }
    }
    for (const [home, list] of byHome) {
      const isSent = send(home, {origins: list});
      metrics.count('streamRecords', isSent ? 'told' : 'unsent');
    }
  }

  return {
    recordList(readAt) {
      const instant = getInstant();
      history.recordList(state.directory.list(), readAt, instant);
      ledger.publish(history.listListed(instant, updateLifetime()));
    },
    recordBegin(origin) {
      records.record(origin, getInstant().monotonic);
      const {streamId, service} = origin;
      if (findOnlyVersion(service) !== null) return;
      records.mark(streamId, 'told');
      tell([origin]);
      if (!hasSeveralVersions(service)) return;
      records.mark(streamId, 'kept');
      journal.add([origin]);
    },
    async find(streamId, service) {
      const wasStoreRead = isStoreRead;
      const local = await findLocally(streamId, service);
      if (local !== null) return local;
      const [origin] = await Promise.all([
        questions.ask(listHomes(streamId).slice(0, ASKED_HOMES), {
          streamId,
          service,
        }),
        resolveWithin(whenStoreRead, {
          milliseconds: STORE_TIMEOUT_MILLISECONDS,
          otherwise: undefined,
        }),
      ]);
      const recorded = findRecord(streamId, service);
      if (recorded !== undefined) return recorded;
      if (!wasStoreRead) {
        const known = await findLocally(streamId, service);
        if (known !== null) return known;
      }
      if (origin === null || origin.service !== service) return null;
      records.record(origin, getInstant().monotonic);
      const {version} = origin;
      return {version, source: 'peer', ageMilliseconds: null};
    },
    listBeginnable(service) {
      const usable = state.directory.getUsable(service);
      const now = getInstant();
      const established = usable.filter(({version}) =>
        history.isEstablished(service, version, now),
      );
      return established.length > 0 ? established : usable;
    },
    flush() {
      records.dropExpired(getInstant().monotonic, updateLifetime());
      const untold = records.takeUnmarked(
        'told',
        rememberByService((service) => findOnlyVersion(service) === null),
      );
      if (untold.length > 0) tell(untold);
      const unkept = records.takeUnmarked(
        'kept',
        rememberByService(hasSeveralVersions),
      );
      if (unkept.length > 0) journal.add(unkept);
    },
    getLifetime: updateLifetime,
    async handle({origins = [], questions: asked = [], answers = []}) {
      recordKnown(origins);
      questions.handleAnswers(answers);
      if (asked.length === 0) return null;
      return {
        answers: await Promise.all(
          asked.map(async ({askId, streamId, service}) => {
            const found = await findLocally(streamId, service);
            const origin = found && {streamId, service, version: found.version};
            return {askId, origin};
          }),
        ),
      };
    },
  };
}
