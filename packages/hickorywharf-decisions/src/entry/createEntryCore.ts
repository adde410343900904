import {createTable} from '../createTable.ts';
import type {EntryCommand} from './entryCommand.ts';
import type {EntryEvent} from './entryEvent.ts';
import type {EntryPolicies} from './entryPolicies.ts';
import {ENTRY_LIMITS} from './entryLimits.ts';
import type {EntryState} from './entryState.ts';
import {finishRequest} from './finishRequest.ts';
import {getCurrentStage} from './getCurrentStage.ts';
import {getFailureOutcome} from './getFailureOutcome.ts';
import {handleConnection} from './handlers/handleConnection.ts';
import {handleFrame} from './handlers/handleFrame.ts';
import {handleInstancesListed} from './handlers/handleInstancesListed.ts';
import {handleRequestArrived} from './handlers/handleRequestArrived.ts';
import {createEntryLoad} from './load/createEntryLoad.ts';
import {recordTick} from './recordTick.ts';
import {removeAttempt} from './removeAttempt.ts';
import {scheduleRetry} from './scheduleRetry.ts';
import {dispatchRequests} from './systems/dispatchRequests.ts';
import {ejectSlowEndpoints} from './systems/ejectSlowEndpoints.ts';
import {enforceDeadlines} from './systems/enforceDeadlines.ts';
import {hedgeSlowAttempts} from './systems/hedgeSlowAttempts.ts';
import {supersedeLostAttempts} from './systems/supersedeLostAttempts.ts';

interface EntryCoreOptions {
  readonly failureDomain: string;
  readonly incarnation: string;
  /** A name of `routingPolicies`. */
  readonly routingPolicy: string;
  /** Default: no admission by estimate, no ejection and no hedging. */
  readonly policies?: EntryPolicies;
  /** Number of partitions of each pool's idempotency keys. */
  readonly homePartitionCount: number;
  /** Requests in flight at which further ones are refused as overloaded. */
  readonly maximumRequests: number;
  /** Numbers in [0, 1). */
  readonly random: () => number;
}

interface EntryCore {
  /**
   * Applies an event and returns the commands to execute, in order.
   *
   * @param now monotonic milliseconds
   */
  handle(event: EntryEvent, now: number): EntryCommand[];
  readonly state: EntryState;
}

type Handlers = {
  [Tag in EntryEvent['tag']]: (
    state: EntryState,
    event: Extract<EntryEvent, {tag: Tag}>,
    now: number,
  ) => void;
};

const HANDLERS: Handlers = {
  requestArrived: handleRequestArrived,
  callerGone(state, event) {
    const request = state.requests.get(event.requestId);
    if (request === undefined) return;
    finishRequest(state, request, {
      tag: 'callerGone',
      step: 'deliver',
      peer: null,
      outcome: getFailureOutcome(request),
      message: 'The caller closed the connection.',
    });
  },
  endpointConnected: (state, event, now) =>
    handleConnection.endpointConnected(
      state,
      event.endpoint,
      event.incarnation,
      now,
    ),
  endpointDisconnected: (state, event, now) =>
    handleConnection.endpointDisconnected(state, event.endpoint, now),
  frameArrived: (state, event, now) =>
    handleFrame(state, event.endpoint, event.frame, now),
  attemptNotSent(state, event, now) {
    const attempt = state.attempts.get(event.attemptId);
    if (attempt === undefined) return;
    removeAttempt(state, attempt);
    const request = state.requests.get(attempt.requestId);
    if (request?.currentAttemptId !== attempt.attemptId) return;
    request.actionMayHaveRun = false;
    request.lastError = {
      tag: 'peerLost',
      step: 'route',
      peer: event.endpoint,
      outcome: getFailureOutcome(request),
      message: 'The attempt could not be sent to the endpoint process.',
    };
    // No other endpoint can replace the home of an action, so the home is not
    // excluded. The pause prevents an endless loop of dispatches that cannot be
    // sent.
    const {idempotent} = getCurrentStage(request);
    if (idempotent) request.excluded.add(event.endpoint);
    const pause = idempotent ? 0 : ENTRY_LIMITS.noEndpointPauseMilliseconds;
    scheduleRetry(request, now + pause);
  },
  instancesListed: (state, event) =>
    handleInstancesListed(state, event.instances),
  configurationInForce(state, event) {
    const current = state.configuration?.sequence ?? 0;
    if (event.view.sequence > current) state.configuration = event.view;
  },
  ticked(state, _event, now) {
    recordTick(state, now);
    // Ejection and hedging examine every attempt: too expensive for each frame.
    ejectSlowEndpoints(state, now);
    hedgeSlowAttempts(state, now);
  },
};

const NO_POLICIES: EntryPolicies = {
  admission: 'none',
  ejection: 'none',
  hedging: 'none',
};

/** Systems in the order in which they run after an event that is not quiet. */
const SYSTEMS = [enforceDeadlines, supersedeLostAttempts, dispatchRequests];

/** Frames that are too frequent, and change too little, to run the systems. */
const QUIET_FRAMES: ReadonlySet<string> = new Set(['tokens', 'heartbeat']);

function isQuiet(event: EntryEvent): boolean {
  return event.tag === 'frameArrived' && QUIET_FRAMES.has(event.frame.tag);
}

/**
 * Creates the decision core of an entry: a state machine that takes each
 * request from admission to its outcome. It performs no I/O and reads no
 * clock: it is given events with the time and returns commands.
 *
 * @example
 *     const core = createEntryCore(options);
 *     core.handle({tag: 'ticked'}, now); // []: there are no requests yet
 */
export function createEntryCore(options: EntryCoreOptions): EntryCore {
  const state: EntryState = {
    ...options,
    policies: options.policies ?? NO_POLICIES,
    load: createEntryLoad(),
    requests: createTable(),
    attempts: createTable(),
    endpoints: createTable(),
    homes: createTable(),
    estimates: createTable(),
    configuration: null,
    retryBudget: ENTRY_LIMITS.maximumRetryBudget,
    inFlightByAccount: new Map(),
    nextIdentifier: 0,
    lastTickAt: null,
    commands: [],
  };
  return {
    state,
    handle(event, now) {
      const handler = HANDLERS[event.tag] as (
        state: EntryState,
        event: EntryEvent,
        now: number,
      ) => void;
      handler(state, event, now);
      if (!isQuiet(event)) {
        for (const runSystem of SYSTEMS) runSystem(state, now);
      }
      const {commands} = state;
      state.commands = [];
      return commands;
    },
  };
}
