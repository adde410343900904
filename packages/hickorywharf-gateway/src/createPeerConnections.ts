import {createPeerClient} from 'hickorywharf-transport/createPeerClient';
import {createPeerServer} from 'hickorywharf-transport/createPeerServer';
import type {Connection} from 'hickorywharf-transport/connection';
import {sendToAll} from 'hickorywharf-transport/sendToAll';
import type {Frame} from 'hickorywharf-types/frame';
import type {GatewayInstance} from 'hickorywharf-types/gateway/gatewayInstance';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {createMemoryBudget} from './createMemoryBudget.ts';
import type {GatewayLog} from './gatewayLog.ts';

interface Address {
  readonly host: string;
  readonly port: number;
}

/** Fields that a heartbeat may have in addition. */
type HeartbeatFields = Pick<
  Extract<Frame, {tag: 'heartbeat'}>,
  | 'endpointLimits'
  | 'streams'
  | 'quarantineRecords'
  | 'accountWork'
  | 'engineReports'
>;

interface PeerConnectionsOptions {
  readonly identity: ProcessIdentity;
  readonly listen: Address;
  /** Addresses where peers probably listen, used until the list is known. */
  readonly seeds: readonly Address[];
  readonly log: GatewayLog;
  /** Bounds the frames of all connections together. */
  readonly memory: ReturnType<typeof createMemoryBudget>;
  /** Connections of peers that may be open together. */
  readonly maximumConnections: number;
  random(): number;
  /**
   * The frame that peers that connected to this instance get at each heartbeat
   * interval, until this instance leaves.
   */
  getStatusFrame(): Frame;
  /** Fields for the heartbeats to peers that this instance connected to. */
  getHeartbeatFields(): HeartbeatFields;
  /** Fields that a peer gets at once when a connection with it is made. */
  getFirstFields(): HeartbeatFields;
  /** Receives a frame of a peer that connected to this instance. */
  onRequest(connection: Connection, frame: Frame): void;
  /** Called when a peer that connected to this instance has disconnected. */
  onRequesterDisconnected(connection: Connection): void;
  /** Receives a frame of a peer that this instance connected to. */
  onReply(name: string, frame: Frame): void;
  /** Called when a peer that this instance connected to has disconnected. */
  onDisconnected(name: string): void;
}

interface PeerConnections {
  listen(): Promise<void>;
  /**
   * Replaces the known peers; disconnects from those that were removed, or are
   * at another address now, and from seeds once there are known peers.
   */
  setInstances(instances: readonly GatewayInstance[]): void;
  /** Whether a peer accepts orders; connects to a known peer if needed. */
  isConnected(name: string): boolean;
  /**
   * The name of a connected peer at a seed address; connects to the seeds if
   * needed. Undefined while none is connected, and once other peers are known.
   */
  findSeed(): string | undefined;
  /** False if the peer is not connected or the frame could not be sent. */
  send(name: string, frame: Frame): boolean;
  /** Sends a heartbeat with fields at once; false as with `send`. */
  sendHeartbeat(name: string, fields: HeartbeatFields): boolean;
  /** Replies with a heartbeat to a peer that connected to this instance. */
  replyHeartbeat(connection: Connection, fields: HeartbeatFields): void;
  /** Sends a heartbeat with fields at once to every connected peer. */
  broadcastHeartbeat(fields: HeartbeatFields): void;
  /** Makes peers order elsewhere; orders that were accepted still run. */
  announceLeaving(): void;
  /** Closes all connections; no more are made, whatever is called later. */
  close(): Promise<void>;
}

/**
 * A connection without frames for this time counts as lost, which detects
 * paused processes and network partitions. Two heartbeats in a row may be
 * missing.
 */
const SILENCE_TIMEOUT_MILLISECONDS = 800;
const HEARTBEAT_INTERVAL_MILLISECONDS = 250;

function isSameAddress(left: Address, right: Address): boolean {
  return left.host === right.host && left.port === right.port;
}

const createHeartbeat = (leaving: boolean): Frame => ({
  tag: 'heartbeat',
  leaving,
  load: null,
  configurationSequence: 0,
});

/**
 * Manages connections to peers, which are opened on first use and kept alive by
 * heartbeats.
 *
 * @example
 *     const connections = createPeerConnections(options);
 *     await connections.listen();
 *     connections.isConnected('front-2') && connections.send('front-2', frame);
 */
export function createPeerConnections(
  options: PeerConnectionsOptions,
): PeerConnections {
  const {identity, log, random} = options;
  const knownPeers = new Map<string, GatewayInstance>();
  const clients = new Map<string, ReturnType<typeof createPeerClient>>();
  const connected = new Map<string, Connection>();
  const inbound = new Set<Connection>();
  let server: Awaited<ReturnType<typeof createPeerServer>> | null = null;
  const leaving = new Set<string>();
  const seeds = new Map(
    options.seeds
      .filter(({host, port}) => !isSameAddress({host, port}, options.listen))
      .map((seed) => [`${seed.host}:${seed.port}`, seed]),
  );
  let isLeaving = false;
  let isClosed = false;
  let heartbeatTimer: NodeJS.Timeout | null = null;

  function onError(error: {readonly message: string; readonly peer: string}) {
    log.infoRateLimited('peer connection failed', {
      step: 'peer',
      peer: error.peer,
      reason: error.message,
    });
  }

  function connect(name: string, {host, port}: Address): void {
    // Reads that were in flight still ask for peers.
    if (isClosed) return;
    const client = createPeerClient({
      name,
      isAnyPeerAccepted: seeds.has(name),
      address: host,
      port,
      identity,
      random,
      silenceTimeoutMilliseconds: SILENCE_TIMEOUT_MILLISECONDS,
      handlers: {
        onConnected(connection) {
          connected.set(name, connection);
          leaving.delete(name);
          log.infoAlways('peer connected', {step: 'peer', peer: name});
          sendFirstFields(connection, createHeartbeat(false));
        },
        onDisconnected(connection) {
          if (connected.get(name) === connection) connected.delete(name);
          log.infoAlways('peer disconnected', {step: 'peer', peer: name});
          options.onDisconnected(name);
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

  function sendFirstFields(connection: Connection, heartbeat: Frame): void {
    const fields = options.getFirstFields();
    if (Object.keys(fields).length === 0) return;
    connection.send({...heartbeat, ...fields});
  }

  function sendStatus(): void {
    const status = isLeaving ? createHeartbeat(true) : options.getStatusFrame();
    sendToAll(inbound, status);
  }

  return {
    announceLeaving() {
      isLeaving = true;
      sendStatus();
    },
    async listen() {
      server = await createPeerServer({
        address: options.listen.host,
        port: options.listen.port,
        identity,
        silenceTimeoutMilliseconds: SILENCE_TIMEOUT_MILLISECONDS,
        memory: options.memory,
        maximumConnections: options.maximumConnections,
        handlers: {
          onConnected(connection) {
            inbound.add(connection);
            sendFirstFields(connection, createHeartbeat(isLeaving));
          },
          onDisconnected(connection) {
            inbound.delete(connection);
            options.onRequesterDisconnected(connection);
          },
          onFrame: options.onRequest,
          onError,
        },
      });
      heartbeatTimer = setInterval(() => {
        sendStatus();
        const heartbeat = {
          ...createHeartbeat(false),
          ...options.getHeartbeatFields(),
        };
        sendToAll(connected.values(), heartbeat);
      }, HEARTBEAT_INTERVAL_MILLISECONDS);
    },
    setInstances(instances) {
      const previous = new Map(knownPeers);
      knownPeers.clear();
      for (const instance of instances) knownPeers.set(instance.name, instance);
      for (const name of [...clients.keys()]) {
        // Without known peers, the seeds are all that can be asked.
        if (knownPeers.size === 0 && seeds.has(name)) continue;
        const known = knownPeers.get(name);
        const before = previous.get(name) ?? known;
        if (known === undefined || !isSameAddress(known, before!)) {
          disconnect(name);
        }
      }
    },
    isConnected(name) {
      const instance = knownPeers.get(name);
      if (instance !== undefined && !clients.has(name)) connect(name, instance);
      return connected.has(name) && !leaving.has(name);
    },
    findSeed() {
      if (knownPeers.size > 0) return undefined;
      for (const [name, seed] of seeds) {
        if (!clients.has(name)) connect(name, seed);
      }
      return [...seeds.keys()].find((name) => connected.has(name));
    },
    sendHeartbeat: (name, fields) =>
      connected.get(name)?.send({...createHeartbeat(false), ...fields}) ??
      false,
    replyHeartbeat: (connection, fields) =>
      void connection.send({...createHeartbeat(isLeaving), ...fields}),
    broadcastHeartbeat(fields) {
      const heartbeat = {...createHeartbeat(false), ...fields};
      sendToAll(connected.values(), heartbeat);
      sendToAll(inbound, {...createHeartbeat(isLeaving), ...fields});
    },
    send: (name, frame) => connected.get(name)?.send(frame) ?? false,
    async close() {
      isClosed = true;
      if (heartbeatTimer !== null) clearInterval(heartbeatTimer);
      for (const name of [...clients.keys()]) disconnect(name);
      await server?.close();
    },
  };
}
