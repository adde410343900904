import {VERSION_KEEP_FACTOR} from 'hickorywharf-decisions/gateway/versionKeepFactor';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {ServiceVersion} from 'hickorywharf-types/gateway/serviceVersion';
import type {StreamOrigin} from 'hickorywharf-types/gateway/streamOrigin';
import {createGatewayMetrics} from '../createGatewayMetrics.ts';
import {createGatewayState} from '../createGatewayState.ts';
import {createStreamVersions} from '../createStreamVersions.ts';
import {SIMULATED_SERVICE} from './simulatedService.ts';

const STEP_MILLISECONDS = 50;
/** Between two reads of the list, as for an instance that reads the store. */
const READ_MILLISECONDS = 900;
/** Difference of the wall clock to the monotonic one. */
const WALL_OFFSET_MILLISECONDS = 1e9;

type Server = Pick<GatewayEndpoint, 'id' | 'version' | 'isDraining'>;

interface Instance {
  readonly name: string;
  readonly streams: ReturnType<typeof createStreamVersions>;
  readonly state: ReturnType<typeof createGatewayState>;
  nextReadAt: number;
}

/**
 * Simulates instances that read a list of servers and tell each other of
 * streams, some of them cut off from all others and from the store, or standing
 * still. Only the wall clock counts the time that an instance stands still.
 */
export function createStreamSimulation(instanceCount: number) {
  let time = 0;
  let servers: readonly Server[] = [];
  const cutOff = new Set<number>();
  const still = new Set<number>();
  const stoodStill = new Map<number, number>();
  const instances: Instance[] = [];
  /** What the instances have written to the store. */
  const kept: StreamOrigin[] = [];
  const published = new Map<
    number,
    {readonly versions: readonly ServiceVersion[]; readonly until: number}
  >();
  let lastStart = 0;
  const names = Array.from(
    {length: instanceCount},
    (_value, index) => `front-${index}`,
  );

  const getInstant = (index: number) => ({
    monotonic: time - (stoodStill.get(index) ?? 0),
    wall: time + WALL_OFFSET_MILLISECONDS,
  });
  const isReachable = (index: number): boolean =>
    !cutOff.has(index) && !still.has(index);

  function read(index: number): boolean {
    if (!isReachable(index)) return false;
    const {state, streams} = instances[index]!;
    const listed = servers.map((server): GatewayEndpoint => ({
      ...server,
      service: SIMULATED_SERVICE,
      host: '10.0.0.1',
      port: 1,
      failureDomain: 'a',
      startedAt: 1,
      slots: 1,
    }));
    state.directory.update(listed, getInstant(index));
    state.endpointFreshness.recordRead(getInstant(index));
    streams.recordList(getInstant(index));
    return true;
  }

  /** What the store still has of all instances that were ever started. */
  const listPublished = (): ServiceVersion[] =>
    [...published.values()].flatMap(({versions, until}) =>
      until > time ? versions : [],
    );

  function start(index: number): void {
    lastStart += 1;
    const startNumber = lastStart;
    const name = names[index]!;
    const state = createGatewayState({
      name,
      failureDomain: 'a',
      capacity: 1,
      lapseMilliseconds: 2000,
    });
    state.instances = names.map((other) => ({
      name: other,
      capacity: 1,
      failureDomain: 'a',
    }));
    const streams = createStreamVersions({
      name,
      state,
      metrics: createGatewayMetrics(),
      getInstant: () => getInstant(index),
      confirmEndpoints: async () => read(index),
      journal: {
        add(origins) {
          if (isReachable(index)) kept.push(...origins);
        },
        earlierOrigins: Promise.resolve(isReachable(index) ? [...kept] : []),
      },
      ledger: {
        publish(versions) {
          if (!isReachable(index)) return;
          const keepMilliseconds = VERSION_KEEP_FACTOR * streams.getLifetime();
          published.set(startNumber, {
            versions,
            until: time + keepMilliseconds,
          });
        },
        earlierVersions: Promise.resolve(
          isReachable(index)
            ? {versions: listPublished(), readAt: getInstant(index)}
            : null,
        ),
      },
      send(peer, exchange) {
        const peerIndex = names.indexOf(peer);
        if (!isReachable(index) || !isReachable(peerIndex)) return false;
        void instances[peerIndex]!.streams.handle(exchange).then(
          (reply) => reply && streams.handle(reply),
        );
        return true;
      },
    });
    instances[index] = {name, streams, state, nextReadAt: time};
  }
  names.forEach((_name, index) => start(index));

  return {
    getTime: () => time,
    /** Begins a stream where the instance may; returns its version. */
    beginStream(index: number, streamId: string): string | null {
      const {streams} = instances[index]!;
      const version = streams.listBeginnable(SIMULATED_SERVICE)[0]?.version;
      if (version === undefined) return null;
      streams.recordBegin({streamId, service: SIMULATED_SERVICE, version});
      return version;
    },
    /** The version at which an instance lets a stream go on; null if at none. */
    async findServedVersion(
      index: number,
      streamId: string,
    ): Promise<string | null> {
      const {streams, state} = instances[index]!;
      const found = await streams.find(streamId, SIMULATED_SERVICE);
      const isServed = state.directory
        .getUsable(SIMULATED_SERVICE)
        .some(({version}) => version === found?.version);
      return isServed ? found!.version : null;
    },
    isRunning: (index: number) => !still.has(index),
    setServers(next: readonly Server[]) {
      servers = next;
    },
    cutOff,
    still,
    /** Starts an instance anew, without what it knew. */
    restart: start,
    /** Lets time pass, in which the instances read the list. */
    pass(milliseconds: number) {
      for (const end = time + milliseconds; time < end;) {
        time += STEP_MILLISECONDS;
        instances.forEach((instance, index) => {
          if (still.has(index)) {
            const before = stoodStill.get(index) ?? 0;
            stoodStill.set(index, before + STEP_MILLISECONDS);
            instance.nextReadAt += STEP_MILLISECONDS;
            return;
          }
          if (instance.nextReadAt > time) return;
          read(index);
          instance.streams.flush();
          instance.nextReadAt = time + READ_MILLISECONDS;
        });
      }
    },
  };
}
