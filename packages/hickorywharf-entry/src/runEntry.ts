import {randomUUID} from 'node:crypto';
import {serve} from '@hono/node-server';
import type bunyan from 'bunyan';
import {createConfigurationKeeper} from 'hickorywharf-configuration/createConfigurationKeeper';
import {followConfiguration} from 'hickorywharf-configuration/followConfiguration';
import {createEntryCore} from 'hickorywharf-decisions/entry/createEntryCore';
import type {EntryCommand} from 'hickorywharf-decisions/entry/entryCommand';
import type {EntryEvent} from 'hickorywharf-decisions/entry/entryEvent';
import {routingPolicies} from 'hickorywharf-decisions/entry/policies/routingPolicies';
import {isConfigurationWatcher} from 'hickorywharf-decisions/membership/isConfigurationWatcher';
import {startOperatorsServer} from 'hickorywharf-operators/startOperatorsServer';
import {createStoreClient} from 'hickorywharf-platform/createStoreClient';
import {fetchInstances} from 'hickorywharf-platform/fetchInstances';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import {createPeerClient} from 'hickorywharf-transport/createPeerClient';
import {TRANSPORT_LIMITS} from 'hickorywharf-transport/transportLimits';
import type {Frame} from 'hickorywharf-types/frame';
import type {Instance} from 'hickorywharf-types/instance';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {Clock} from 'hickorywharf-utils/clock';
import {createUuid7} from 'hickorywharf-utils/createUuid7';
import {sleep} from 'hickorywharf-utils/sleep';
import type {entrySettings} from 'hickorywharf-validation/entrySettings';
import type {z} from 'zod';
import type {Caller} from './caller.ts';
import {createHttpApplication} from './createHttpApplication.ts';

interface RunEntryOptions {
  readonly settings: z.infer<typeof entrySettings>;
  readonly logger: bunyan;
  readonly history: HistoryRecorder;
  readonly clock: Clock;
  readonly random: () => number;
}

interface RunningEntry {
  readonly port: number;
  /** Stops without cutting a request; resolves once all are finished. */
  stop(): Promise<void>;
}

const TICK_MILLISECONDS = 10;
const STOP_POLL_MILLISECONDS = 20;
const HOME_PARTS = 32;

/**
 * Runs an entry until it is stopped.
 *
 * @example
 *     const entry = await runEntry(options);
 *     await entry.stop();
 */
export async function runEntry(
  options: RunEntryOptions,
): Promise<RunningEntry> {
  const {settings, logger, history, clock, random} = options;
  const {name, failureDomain} = settings.process;
  const incarnation = randomUUID();
  if (!Object.hasOwn(routingPolicies, settings.policy.routing)) {
    throw new Error(
      `[policy] routing: allowed are ${Object.keys(routingPolicies).join(', ')}`,
    );
  }
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
    homeParts: HOME_PARTS,
    maximumRequests: settings.limits.requestsInFlight,
    random,
  });
  const callers = new Map<string, Caller>();
  const clients = new Map<string, {close(): void}>();
  const senders = new Map<string, (frame: Frame) => boolean>();
  const lifetime = new AbortController();
  let instances: readonly Instance[] = [];
  let stopping = false;

  const keeper = createConfigurationKeeper({
    now: clock.monotonic,
    relay: settings.configuration.relay,
    onInForce(view) {
      const {sequence} = view;
      history.record({tag: 'configurationInForce', sequence});
      feed({tag: 'configurationInForce', view});
    },
  });

  function connectEndpoint(
    command: Extract<EntryCommand, {tag: 'connect'}>,
  ): void {
    const {endpoint, address, port} = command;
    const client = createPeerClient({
      address,
      port,
      identity,
      random,
      handlers: {
        onUp(peer, send) {
          senders.set(endpoint, send);
          keeper.addPeer(endpoint, send);
          feed({
            tag: 'endpointConnected',
            endpoint,
            incarnation: peer.incarnation,
          });
        },
        onFrame(_peer, frame) {
          if (keeper.takeFrame(endpoint, frame)) return;
          feed({tag: 'frameArrived', endpoint, frame});
        },
        onDown() {
          senders.delete(endpoint);
          keeper.removePeer(endpoint);
          feed({tag: 'endpointLost', endpoint});
        },
        onError: (error) => logger.warn(error, error.message),
      },
    });
    clients.set(endpoint, client);
  }

  function sendFrame(command: Extract<EntryCommand, {tag: 'send'}>): void {
    const {endpoint, frame} = command;
    const isSent = senders.get(endpoint)?.(frame) ?? false;
    if (isSent || frame.tag !== 'attempt') return;
    feed({tag: 'attemptNotSent', endpoint, attemptId: frame.attemptId});
  }

  type CommandHandlers = {
    [Tag in EntryCommand['tag']]: (
      command: Extract<EntryCommand, {tag: Tag}>,
    ) => void;
  };
  const commandHandlers: CommandHandlers = {
    send: sendFrame,
    connect: connectEndpoint,
    disconnect({endpoint}) {
      clients.get(endpoint)?.close();
      clients.delete(endpoint);
    },
    deliverTokens: ({requestId, position, tokens}) =>
      callers.get(requestId)?.deliverTokens(position, tokens),
    answer({requestId, outputs}) {
      const caller = callers.get(requestId);
      callers.delete(requestId);
      history.record({tag: 'requestFinished', requestId, outcome: 'answered'});
      caller?.answer(outputs);
    },
    fail({requestId, error}) {
      const caller = callers.get(requestId);
      callers.delete(requestId);
      const {outcome, step, peer} = error;
      history.record({tag: 'requestFinished', requestId, outcome});
      logger.info(
        {requestId, step, peer, outcome, tag: error.tag},
        error.message,
      );
      caller?.fail(error);
    },
  };

  function feed(event: EntryEvent): void {
    for (const command of core.handle(event, clock.monotonic())) {
      const handler = commandHandlers[command.tag] as (
        command: EntryCommand,
      ) => void;
      handler(command);
    }
  }

  function getUnreadyReason(): string | null {
    if (stopping) return 'stopping';
    if (keeper.sequence === 0) return 'no configuration yet';
    return null;
  }

  const application = createHttpApplication({
    maximumBodyBytes: settings.limits.bodyBytes,
    createRequestId: () => createUuid7(clock.wall()),
    getUnreadyReason,
    submit(arrival, caller, callId) {
      const {requestId, idempotencyKey} = arrival;
      callers.set(requestId, caller);
      history.record({
        tag: 'requestAccepted',
        requestId,
        callId,
        idempotencyKey,
      });
      feed(arrival);
    },
    onCallerGone(requestId) {
      if (callers.has(requestId)) feed({tag: 'callerGone', requestId});
    },
  });

  async function followInstances(): Promise<void> {
    const {instancesUrl, instancesPollMilliseconds} = settings.platform;
    while (!lifetime.signal.aborted) {
      const listed = await fetchInstances(instancesUrl);
      if (listed.isOk()) {
        instances = listed.value;
        feed({tag: 'instancesListed', instances});
      }
      await sleep(instancesPollMilliseconds * (0.75 + random() / 2));
    }
  }

  void followInstances();
  const isWatcher = () => isConfigurationWatcher(identity, instances);
  void followConfiguration({
    store: createStoreClient(settings.platform.storeUrl),
    keeper,
    role: 'entry',
    policy: settings.configuration.follow,
    isWatcher,
    getEntries: () => instances.filter(({role}) => role === 'entry').length,
    createOperation: randomUUID,
    random,
    signal: lifetime.signal,
  });
  const operators = startOperatorsServer({
    ...settings.operators,
    getState: () => ({
      process: identity,
      configuration: {...keeper.getStatus(), isWatcher: isWatcher()},
      membership: {instances, leaving: stopping},
      queue: {queued: 0, running: callers.size},
    }),
  });
  const ticker = setInterval(() => feed({tag: 'ticked'}), TICK_MILLISECONDS);
  const beater = setInterval(() => {
    const heartbeat: Frame = {
      tag: 'heartbeat',
      leaving: stopping,
      load: null,
      configurationSequence: keeper.sequence,
    };
    for (const send of senders.values()) send(heartbeat);
  }, TRANSPORT_LIMITS.heartbeatMilliseconds);

  const {promise: listening, resolve: onListening} =
    Promise.withResolvers<number>();
  const server = serve(
    {
      fetch: application.fetch,
      hostname: settings.http.address,
      port: settings.http.port,
    },
    ({port}) => onListening(port),
  );

  return {
    port: await listening,
    async stop() {
      stopping = true;
      await sleep(settings.stop.balancerMilliseconds);
      server.close();
      while (callers.size > 0) await sleep(STOP_POLL_MILLISECONDS);
      clearInterval(ticker);
      clearInterval(beater);
      operators.close();
      lifetime.abort();
      for (const client of clients.values()) client.close();
      await sleep(STOP_POLL_MILLISECONDS);
    },
  };
}
