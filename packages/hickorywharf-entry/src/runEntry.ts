import {randomUUID} from 'node:crypto';
import type bunyan from 'bunyan';
import {createConfigurationReplica} from 'hickorywharf-configuration/createConfigurationReplica';
import {followConfiguration} from 'hickorywharf-configuration/followConfiguration';
import {createEntryCore} from 'hickorywharf-decisions/entry/createEntryCore';
import type {EntryCommand} from 'hickorywharf-decisions/entry/entryCommand';
import type {EntryEvent} from 'hickorywharf-decisions/entry/entryEvent';
import {ENTRY_LIMITS} from 'hickorywharf-decisions/entry/entryLimits';
import {routingPolicies} from 'hickorywharf-decisions/entry/policies/routingPolicies';
import {describeMembers} from 'hickorywharf-decisions/membership/describeMembers';
import {getResourceBounds} from 'hickorywharf-decisions/gateway/getResourceBounds';
import {createMemoryBudget} from 'hickorywharf-gateway/createMemoryBudget';
import {PARTITION_COUNT} from 'hickorywharf-decisions/homes/partitionCount';
import {isConfigurationWatcher} from 'hickorywharf-decisions/membership/isConfigurationWatcher';
import {startOperatorsServer} from 'hickorywharf-operators/startOperatorsServer';
import {createStoreClient} from 'hickorywharf-platform/createStoreClient';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import {loadTlsCredentials} from 'hickorywharf-transport/loadTlsCredentials';
import {TRANSPORT_LIMITS} from 'hickorywharf-transport/transportLimits';
import type {Frame} from 'hickorywharf-types/frame';
import type {Instance} from 'hickorywharf-types/instance';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {Clock} from 'hickorywharf-utils/clock';
import {createEventLoop} from 'hickorywharf-utils/createEventLoop';
import {createUuid7} from 'hickorywharf-utils/createUuid7';
import {sleep} from 'hickorywharf-utils/sleep';
import {startTimer} from 'hickorywharf-utils/startTimer';
import type {entrySettings} from 'hickorywharf-validation/entrySettings';
import type * as z from 'zod';
import {createResponderRegistry} from './createResponderRegistry.ts';
import {createEndpointConnections} from './createEndpointConnections.ts';
import type {createEntryTelemetry} from './createEntryTelemetry.ts';
import {createHttpApplication} from './createHttpApplication.ts';
import {createHttpServer} from './createHttpServer.ts';
import {getUnreadyReason} from './getUnreadyReason.ts';
import {pollInstances} from './pollInstances.ts';

interface RunEntryOptions {
  readonly settings: z.infer<typeof entrySettings>;
  readonly logger: bunyan;
  readonly history: HistoryRecorder;
  readonly clock: Clock;
  readonly random: () => number;
  readonly telemetry: ReturnType<typeof createEntryTelemetry>;
}

interface RunningEntry {
  readonly port: number;
  /** Drains and stops; resolves once all requests are finished. */
  stop(): Promise<void>;
}

const BYTES_PER_MEGABYTE = 1_000_000;
/** Bounds the log under a crowd of callers. */
const DROP_LOG_MILLISECONDS = 1000;
const TICK_MILLISECONDS = 10;
const IDLE_TICK_MILLISECONDS = 100;
const STOP_POLL_MILLISECONDS = 20;
/** Time that a stop waits for slow callers to read finished responses. */
const STOP_DELIVERY_MILLISECONDS = 30_000;

type CommandHandlers = {
  [Tag in EntryCommand['tag']]: (
    command: Extract<EntryCommand, {tag: Tag}>,
  ) => void;
};

function checkSettings(settings: RunEntryOptions['settings']): void {
  if (Object.hasOwn(routingPolicies, settings.policy.routing)) return;
  const allowed = Object.keys(routingPolicies).join(', ');
  throw new Error(`[policy] routing: allowed are ${allowed}`);
}

/** What the settings state of the machine, in bytes. */
function getMachine(limits: RunEntryOptions['settings']['limits']) {
  const {memoryMegabytes, maximumDescriptors} = limits;
  return {
    ...(memoryMegabytes !== undefined && {
      memoryBytes: memoryMegabytes * BYTES_PER_MEGABYTE,
    }),
    ...(maximumDescriptors !== undefined && {maximumDescriptors}),
  };
}

/**
 * Starts an entry, which runs until it is stopped; resolves once it listens.
 * Throws where a setting or the credentials are invalid.
 *
 * @example
 *     const entry = await runEntry(options);
 *     await entry.stop();
 */
export async function runEntry(
  options: RunEntryOptions,
): Promise<RunningEntry> {
  const {settings, logger, history, clock, random, telemetry} = options;
  const {name, failureDomain} = settings.process;
  checkSettings(settings);
  const credentials = loadTlsCredentials(settings.tls);
  if (credentials.isErr()) throw new Error(credentials.error.message);
  const incarnation = randomUUID();
  const identity: ProcessIdentity = {
    name,
    incarnation,
    role: 'entry',
    failureDomain,
  };
  const core = createEntryCore({
    failureDomain,
    incarnation,
    routingPolicy: settings.policy.routing,
    policies: settings.policy,
    homePartitionCount: PARTITION_COUNT,
    maximumRequests: settings.limits.requestsInFlight,
    random,
  });
  const responders = createResponderRegistry({history, logger});
  const lifetime = new AbortController();
  let instances: readonly Instance[] = [];
  let stopping = false;

  const replica = createConfigurationReplica({
    now: clock.monotonic,
    relay: settings.configuration.relay,
    onConfigurationChange(view) {
      const {sequence} = view;
      history.record({tag: 'configurationInForce', sequence});
      telemetry.configurationInForce(sequence);
      feed({tag: 'configurationInForce', view});
    },
  });

  const connections = createEndpointConnections({
    identity,
    credentials: credentials.value,
    logger,
    random,
    onConnected({peer, send}) {
      const {name: endpoint, incarnation: peerIncarnation} = peer;
      replica.addPeer(endpoint, send);
      feed({
        tag: 'endpointConnected',
        endpoint,
        incarnation: peerIncarnation,
      });
    },
    onFrame(endpoint, frame) {
      if (replica.handleFrame(endpoint, frame)) return;
      telemetry.frameArrived(frame);
      feed({tag: 'frameArrived', endpoint, frame});
    },
    onDisconnected(endpoint) {
      replica.removePeer(endpoint);
      feed({tag: 'endpointDisconnected', endpoint});
    },
  });

  const commandHandlers: CommandHandlers = {
    send(command) {
      const {endpoint} = command;
      const frame = telemetry.sending(endpoint, command.frame);
      if (connections.send(endpoint, frame) || frame.tag !== 'attempt') return;
      feed({tag: 'attemptNotSent', endpoint, attemptId: frame.attemptId});
    },
    connect: connections.connect,
    disconnect: ({endpoint}) => connections.disconnect(endpoint),
    deliverTokens(command) {
      telemetry.tokensDelivered(command.requestId);
      responders.deliverTokens(command);
    },
    answer(command) {
      telemetry.finished(command.requestId, 'answered', 'none');
      responders.answer(command);
    },
    fail(command) {
      const {requestId, error} = command;
      telemetry.finished(requestId, error.outcome, error.tag);
      responders.fail(command);
    },
  };

  const feed = createEventLoop<EntryEvent, EntryCommand>({
    decide: (event) => core.handle(event, clock.monotonic()),
    execute(command) {
      const handler = commandHandlers[command.tag] as (
        command: EntryCommand,
      ) => void;
      handler(command);
    },
  });

  const bounds = getResourceBounds(getMachine(settings.limits));
  let drops = 0;
  let dropLoggedAt = -Infinity;
  const memory = createMemoryBudget({
    maximumBytes: bounds.heldBytes,
    now: clock.monotonic,
    onDrop(kind, bytes) {
      drops += 1;
      const now = clock.monotonic();
      if (now - dropLoggedAt < DROP_LOG_MILLISECONDS) return;
      dropLoggedAt = now;
      const fields = {step: 'receive', peer: null, kind, bytes, drops};
      logger.warn(fields, 'dropped for memory');
    },
  });
  const application = createHttpApplication({
    maximumBodyBytes: settings.limits.bodyBytes,
    memory,
    createRequestId: () => createUuid7(clock.wall()),
    getUnreadyReason: () =>
      getUnreadyReason({
        stopping,
        sequence: replica.sequence,
        connectedPeers: connections.size,
      }),
    submit(arrival, responder, callId) {
      const {requestId, idempotencyKey} = arrival;
      responders.add(requestId, responder);
      history.record({
        tag: 'requestAccepted',
        requestId,
        callId,
        idempotencyKey,
      });
      const wasIdle = core.state.requests.size === 0;
      feed(telemetry.arrived(arrival));
      if (wasIdle) tickTimer.reschedule();
    },
    onCallerGone(requestId) {
      if (responders.has(requestId)) feed({tag: 'callerGone', requestId});
    },
    onError: (error) =>
      logger.error({step: 'receive', peer: null}, error.message),
  });

  void pollInstances({
    url: settings.platform.instancesUrl,
    pollMilliseconds: settings.platform.instancesPollMilliseconds,
    random,
    signal: lifetime.signal,
    onListed(listed) {
      instances = listed;
      feed({tag: 'instancesListed', instances});
    },
  });
  const isWatcher = () => isConfigurationWatcher(identity, instances);
  void followConfiguration({
    store: createStoreClient(settings.platform.storeUrl),
    replica,
    role: 'entry',
    policy: settings.configuration.follow,
    isWatcher,
    getEntryCount: () => instances.filter(({role}) => role === 'entry').length,
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
      configuration: {...replica.getStatus(), isWatcher: isWatcher()},
      membership: {
        instances,
        leaving: stopping,
        observed: describeMembers(
          [...core.state.endpoints.rows()],
          clock.monotonic(),
          ENTRY_LIMITS.silenceTimeoutMilliseconds,
        ),
      },
      queue: {queued: 0, running: responders.size},
    }),
  });
  const tickTimer = startTimer({
    onTick: () => feed({tag: 'ticked'}),
    getPause: () =>
      core.state.requests.size > 0 ? TICK_MILLISECONDS : IDLE_TICK_MILLISECONDS,
  });
  const heartbeatTimer = setInterval(() => {
    const heartbeat: Frame = {
      tag: 'heartbeat',
      leaving: stopping,
      load: null,
      configurationSequence: replica.sequence,
    };
    connections.sendAll(heartbeat);
  }, TRANSPORT_LIMITS.heartbeatMilliseconds);
  const server = await createHttpServer({
    fetch: application.fetch,
    maximumConnections: bounds.callerConnections,
    ...settings.http,
  });

  return {
    port: server.port,
    async stop() {
      stopping = true;
      server.startDraining();
      await sleep(settings.stop.balancerMilliseconds);
      server.stopListening();
      while (responders.size > 0) await sleep(STOP_POLL_MILLISECONDS);
      await server.finishResponses(STOP_DELIVERY_MILLISECONDS);
      tickTimer.stop();
      clearInterval(heartbeatTimer);
      operators.close();
      lifetime.abort();
      connections.close();
    },
  };
}
