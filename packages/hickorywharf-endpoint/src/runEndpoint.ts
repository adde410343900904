import {randomUUID} from 'node:crypto';
import type bunyan from 'bunyan';
import {createConfigurationReplica} from 'hickorywharf-configuration/createConfigurationReplica';
import {followConfiguration} from 'hickorywharf-configuration/followConfiguration';
import type {EndpointCommand} from 'hickorywharf-decisions/endpoint/endpointCommand';
import type {EndpointEvent} from 'hickorywharf-decisions/endpoint/endpointEvent';
import {findChangedHomes} from 'hickorywharf-decisions/homes/findChangedHomes';
import type {HomeRecord} from 'hickorywharf-decisions/homes/homeRecord';
import {backendKinds} from 'hickorywharf-endpoints/backendKinds';
import {describeMembers} from 'hickorywharf-decisions/membership/describeMembers';
import {startOperatorsServer} from 'hickorywharf-operators/startOperatorsServer';
import {createStoreClient} from 'hickorywharf-platform/createStoreClient';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import {createPeerServer} from 'hickorywharf-transport/createPeerServer';
import {loadTlsCredentials} from 'hickorywharf-transport/loadTlsCredentials';
import {TRANSPORT_LIMITS} from 'hickorywharf-transport/transportLimits';
import type {Frame} from 'hickorywharf-types/frame';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {Clock} from 'hickorywharf-utils/clock';
import {createEventLoop} from 'hickorywharf-utils/createEventLoop';
import {sleep} from 'hickorywharf-utils/sleep';
import {startTimer} from 'hickorywharf-utils/startTimer';
import type {endpointSettings} from 'hickorywharf-validation/endpointSettings';
import type * as z from 'zod';
import {createBackendRunner} from './createBackendRunner.ts';
import type {createEndpointTelemetry} from './createEndpointTelemetry.ts';
import {createCoreFromSettings} from './createCoreFromSettings.ts';
import {createLeaveTracker} from './createLeaveTracker.ts';
import {createEntryPeers} from './createEntryPeers.ts';
import {claimKey} from './claimKey.ts';
import {createHomeManager} from './createHomeManager.ts';
import {getListenerSlot} from './getListenerSlot.ts';

interface RunEndpointOptions {
  readonly settings: z.infer<typeof endpointSettings>;
  readonly logger: bunyan;
  readonly history: HistoryRecorder;
  readonly clock: Clock;
  readonly random: () => number;
  readonly telemetry: ReturnType<typeof createEndpointTelemetry>;
}

interface RunningEndpoint {
  /** Port on which entries connect. */
  readonly port: number;
  /** Refuses new work, finishes accepted work and releases the homes. */
  stop(): Promise<void>;
}

/** Interval of ticks while attempts are queued or run. */
const TICK_MILLISECONDS = 25;
/** Interval of ticks while no attempt is queued or runs. */
const IDLE_TICK_MILLISECONDS = 100;
/** Interval at which `stop` checks for unfinished work. */
const STOP_POLL_MILLISECONDS = 20;
/**
 * Time for entries to fetch outcomes and to observe that the endpoint leaves.
 * Work that they sent before is finished afterwards.
 */
const STOP_GRACE_MILLISECONDS = 300;

/**
 * Runs an endpoint process, which connects entries with one backend, until it
 * is stopped.
 *
 * @throws Error if the queue order is unknown or the TLS files cannot be loaded
 * @example
 *     const endpoint = await runEndpoint(options);
 *     await endpoint.stop();
 */
export async function runEndpoint(
  options: RunEndpointOptions,
): Promise<RunningEndpoint> {
  const {settings, logger, history, clock, random, telemetry} = options;
  const {name, failureDomain} = settings.process;
  const incarnation = randomUUID();
  const credentials = loadTlsCredentials(settings.tls);
  if (credentials.isErr()) throw new Error(credentials.error.message);
  const core = createCoreFromSettings(settings, incarnation);
  const leaveTracker = createLeaveTracker({name, state: core.state, history});
  const store = createStoreClient(settings.platform.storeUrl);
  const peers = createEntryPeers({
    onPeerRemoved: (peer) => feed({tag: 'peerDisconnected', peer}),
    getNow: clock.monotonic,
  });

  const identity: ProcessIdentity = {
    name,
    incarnation,
    role: 'endpoint',
    failureDomain,
  };
  const lifetime = new AbortController();

  const replica = createConfigurationReplica({
    now: clock.monotonic,
    relay: settings.configuration.relay,
    onConfigurationChange(view) {
      const {sequence} = view;
      history.record({tag: 'configurationInForce', sequence});
      telemetry.configurationInForce(sequence);
      feed({tag: 'configurationInForce', view});
      leaveTracker.update();
    },
  });

  async function claim(
    command: Extract<EndpointCommand, {tag: 'claim'}>,
  ): Promise<void> {
    const {attemptId, remainingMilliseconds} = command;
    const deadlineAt = clock.monotonic() + remainingMilliseconds;
    const outcome = await claimKey({
      ...command,
      store,
      random,
      claimId: `${incarnation}/${attemptId}`,
      isLate: () => clock.monotonic() >= deadlineAt,
    });
    feed({tag: 'claimResolved', attemptId, outcome});
  }

  function publishHomes(record: HomeRecord, revision: number): void {
    const before = core.state.homes;
    feed({tag: 'homesRead', record, revision});
    const homes = findChangedHomes(before, core.state.homes, name);
    if (homes.length > 0) peers.sendAll({tag: 'homes', homes});
  }

  type CommandHandlers = {
    [Tag in EndpointCommand['tag']]: (
      command: Extract<EndpointCommand, {tag: Tag}>,
    ) => void;
  };
  const commandHandlers: CommandHandlers = {
    send({peer, frame}) {
      const attempt =
        'attemptId' in frame ? core.state.attempts.get(frame.attemptId) : null;
      telemetry.frameSent(frame);
      // Without a row, the deadline is unknown, and `stop` waits for no
      // delivery.
      peers.send(peer, frame, attempt?.deadlineAt ?? 0);
    },
    startBackend(command) {
      const attempt = telemetry.backendStarted(command.attempt);
      const {requestId, attemptId} = attempt;
      history.record({
        tag: 'attemptBegan',
        requestId,
        attemptId,
        endpoint: name,
      });
      runner.start({...command, attempt});
    },
    claim: (command) => void claim(command),
    cancelBackend: ({attemptId}) => runner.cancel(attemptId),
    accepted({attempt}) {
      const {requestId, attemptId} = attempt;
      telemetry.accepted(attempt);
      history.record({
        tag: 'attemptAccepted',
        requestId,
        attemptId,
        endpoint: name,
      });
    },
  };

  const feed = createEventLoop<EndpointEvent, EndpointCommand>({
    decide: (event) => core.handle(event, clock.monotonic()),
    execute(command) {
      const handler = commandHandlers[command.tag] as (
        command: EndpointCommand,
      ) => void;
      handler(command);
    },
  });
  const backend = backendKinds[settings.backend.kind](settings.backend.url);
  const runner = createBackendRunner({
    backend,
    logger,
    feed(event) {
      telemetry.backendEvent(event);
      recordBackendEnd(event);
      feed(event);
    },
  });

  function recordBackendEnd(event: EndpointEvent): void {
    if (event.tag !== 'backendFinished' && event.tag !== 'backendFailed') {
      return;
    }
    const {attemptId} = event;
    // An attempt that runs always has a row.
    const requestId = core.state.attempts.get(attemptId)?.frame.requestId ?? '';
    history.record({tag: 'attemptEnded', requestId, attemptId, endpoint: name});
  }

  function createHeartbeat(): Extract<Frame, {tag: 'heartbeat'}> {
    return {
      tag: 'heartbeat',
      leaving: leaveTracker.isLeaving(),
      load: core.getLoad(),
      configurationSequence: replica.sequence,
    };
  }

  function sendHeartbeats(): void {
    telemetry.loadReported(core.getLoad());
    peers.sendAll(createHeartbeat());
  }

  const server = await createPeerServer({
    ...settings.listen,
    identity,
    credentials: credentials.value,
    handlers: {
      onConnected(connection) {
        peers.add(connection);
        replica.addPeer(connection.peer.incarnation, connection.send);
        connection.send(createHeartbeat());
        const homes = findChangedHomes(null, core.state.homes, name);
        if (homes.length > 0) connection.send({tag: 'homes', homes});
      },
      onFrame({peer: {incarnation: peer}}, frame) {
        if (replica.handleFrame(peer, frame)) return;
        feed({tag: 'frameArrived', peer, frame});
      },
      onDisconnected(connection) {
        const isRemoved = peers.remove(connection);
        if (isRemoved) replica.removePeer(connection.peer.incarnation);
      },
      onError: (error) => logger.warn(error, error.message),
    },
  });

  void followConfiguration({
    store,
    replica,
    role: 'endpoint',
    policy: settings.configuration.follow,
    isWatcher: () => false,
    getEntryCount: () => 0,
    createOperation: randomUUID,
    random,
    signal: lifetime.signal,
  });
  const operators = startOperatorsServer({
    ...settings.operators,
    onError: (error) =>
      logger.warn({step: 'receive', peer: null}, error.message),
    getState: () => ({
      process: identity,
      configuration: {...replica.getStatus(), isWatcher: false},
      membership: {
        instances: [],
        leaving: leaveTracker.isLeaving(),
        observed: describeMembers([], 0, 0),
      },
      queue: core.getLoad(),
    }),
  });
  const homeManager = createHomeManager({
    settings,
    state: core.state,
    store,
    clock,
    random,
    // The server already listens, so a predecessor with this slot has ended.
    slot: getListenerSlot(settings.listen),
    onRecord: publishHomes,
    onReleasing: (homes) => feed({tag: 'homesReleasing', homes}),
  });
  const tickTimer = startTimer({
    onTick: () => feed({tag: 'ticked'}),
    getPause: () =>
      core.state.running + core.state.queued > 0
        ? TICK_MILLISECONDS
        : IDLE_TICK_MILLISECONDS,
  });
  const heartbeatTimer = setInterval(
    sendHeartbeats,
    TRANSPORT_LIMITS.heartbeatMilliseconds,
  );

  async function finishWork(): Promise<void> {
    const {state} = core;
    while (state.running + state.queued > 0 || peers.hasUndelivered()) {
      await sleep(STOP_POLL_MILLISECONDS);
    }
  }

  return {
    port: server.port,
    async stop() {
      feed({tag: 'leaveRequested'});
      leaveTracker.update();
      sendHeartbeats();
      await Promise.all([homeManager.stop(), finishWork()]);
      await sleep(STOP_GRACE_MILLISECONDS);
      await finishWork();
      tickTimer.stop();
      clearInterval(heartbeatTimer);
      lifetime.abort();
      operators.close();
      await server.close();
    },
  };
}
