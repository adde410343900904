import {createPeerClient} from 'hickorywharf-transport/createPeerClient';
import {createPeerServer} from 'hickorywharf-transport/createPeerServer';
import type {Connection} from 'hickorywharf-transport/connection';
import type {Frame} from 'hickorywharf-types/frame';
import type {GatewayInstance} from 'hickorywharf-types/gateway/gatewayInstance';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {GatewayLog} from './gatewayLog.ts';

interface Address {
  readonly host: string;
  readonly port: number;
}

interface PeerLinksOptions {
  readonly identity: ProcessIdentity;
  readonly listen: Address;
  /** Where instances probably take connections, before any is known. */
  readonly seeds: readonly Address[];
  readonly log: GatewayLog;
  random(): number;
  /** What those that connected here are told with each heartbeat. */
  getStatusFrame(): Frame;
  /** A frame of an instance that connected here. */
  onRequest(connection: Connection, frame: Frame): void;
  onRequesterDown(connection: Connection): void;
  /** A frame of an instance that this one connected to. */
  onReply(name: string, frame: Frame): void;
  onDown(name: string): void;
}

interface PeerLinks {
  listen(): Promise<void>;
  /** Follows the instances that are known. */
  setInstances(instances: readonly GatewayInstance[]): void;
  /** Whether an instance takes orders now; connects if it is known. */
  isUp(name: string): boolean;
  /**
   * A name for any instance at the addresses known from the start; connects to
   * them. Undefined while none is up, and once other instances are known.
   */
  findSeed(): string | undefined;
  send(name: string, frame: Frame): boolean;
  /** Tells the others to order elsewhere; what is ordered is still made. */
  announceLeaving(): void;
  close(): Promise<void>;
}

/** A pause or a cut shows after this; a heartbeat comes four times as often. */
const SILENCE_MILLISECONDS = 800;
const HEARTBEAT_MILLISECONDS = 150;

function isSame(left: Address, right: Address): boolean {
  return left.host === right.host && left.port === right.port;
}

const heartbeat = (leaving: boolean): Frame => ({
  tag: 'heartbeat',
  leaving,
  load: null,
  configurationSequence: 0,
});

/**
 * Connections to the other instances, made when they are first needed and kept
 * alive by heartbeats.
 *
 * @example
 *     const links = createPeerConnections(options);
 *     await links.listen();
 *     links.isUp('front-2') && links.send('front-2', frame);
 */
export function createPeerConnections(options: PeerLinksOptions): PeerLinks {
  const {identity, log, random} = options;
  const known = new Map<string, GatewayInstance>();
  const clients = new Map<string, ReturnType<typeof createPeerClient>>();
  const up = new Map<string, Connection>();
  const requesters = new Set<Connection>();
  let server: Awaited<ReturnType<typeof createPeerServer>> | null = null;
  const leaving = new Set<string>();
  const seeds = new Map(
    options.seeds
      .filter(({host, port}) => !isSame({host, port}, options.listen))
      .map((seed) => [`${seed.host}:${seed.port}`, seed]),
  );
  let isLeaving = false;
  let ticker: NodeJS.Timeout | null = null;

  function onError(error: {readonly message: string; readonly peer: string}) {
    log.infoRateLimited('peer connection failed', {
      step: 'peer',
      peer: error.peer,
      reason: error.message,
    });
  }

  function connect(name: string, {host, port}: Address): void {
    const client = createPeerClient({
      name,
      isAnyPeerAccepted: seeds.has(name),
      address: host,
      port,
      identity,
      random,
      silenceTimeoutMilliseconds: SILENCE_MILLISECONDS,
      handlers: {
        onConnected(connection) {
          up.set(name, connection);
          leaving.delete(name);
          log.infoAlways('peer connected', {step: 'peer', peer: name});
        },
        onDisconnected(connection) {
          if (up.get(name) === connection) up.delete(name);
          log.infoAlways('peer lost', {step: 'peer', peer: name});
          options.onDown(name);
        },
        onFrame(_connection, frame) {
          if (frame.tag === 'heartbeat' && frame.leaving) leaving.add(name);
          options.onReply(name, frame);
        },
        onError,
      },
    });
    clients.set(name, client);
  }

  function disconnect(name: string): void {
    clients.get(name)?.close();
    clients.delete(name);
  }

  function tell(): void {
    const news = isLeaving ? heartbeat(true) : options.getStatusFrame();
    for (const connection of requesters) connection.send(news);
  }

  return {
    announceLeaving() {
      isLeaving = true;
      tell();
    },
    async listen() {
      server = await createPeerServer({
        address: options.listen.host,
        port: options.listen.port,
        identity,
        silenceTimeoutMilliseconds: SILENCE_MILLISECONDS,
        handlers: {
          onConnected: (connection) => void requesters.add(connection),
          onDisconnected(connection) {
            requesters.delete(connection);
            options.onRequesterDown(connection);
          },
          onFrame: options.onRequest,
          onError,
        },
      });
      ticker = setInterval(() => {
        tell();
        for (const connection of up.values()) {
          connection.send(heartbeat(false));
        }
      }, HEARTBEAT_MILLISECONDS);
    },
    setInstances(instances) {
      known.clear();
      for (const instance of instances) known.set(instance.name, instance);
      for (const name of [...clients.keys()]) {
        if (!known.has(name)) disconnect(name);
      }
    },
    isUp(name) {
      const instance = known.get(name);
      if (instance !== undefined && !clients.has(name)) connect(name, instance);
      return up.has(name) && !leaving.has(name);
    },
    findSeed() {
      if (known.size > 0) return undefined;
      for (const [name, seed] of seeds) {
        if (!clients.has(name)) connect(name, seed);
      }
      return [...seeds.keys()].find((name) => up.has(name));
    },
    send: (name, frame) => up.get(name)?.send(frame) ?? false,
    async close() {
      if (ticker !== null) clearInterval(ticker);
      for (const name of [...clients.keys()]) disconnect(name);
      await server?.close();
    },
  };
}
