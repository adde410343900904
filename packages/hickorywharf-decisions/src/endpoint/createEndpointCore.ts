import type {LoadReport} from 'hickorywharf-types/loadReport';
import {createTable} from '../createTable.ts';
import type {EndpointCommand} from './endpointCommand.ts';
import type {EndpointEvent} from './endpointEvent.ts';
import type {EndpointState} from './endpointState.ts';
import {createHomeMap} from '../homes/createHomeMap.ts';
import {emptyHomeRecord} from '../homes/emptyHomeRecord.ts';
import {getPartitionId} from '../homes/getPartitionId.ts';
import {handleBackend} from './handlers/handleBackend.ts';
import {handlePeerFrame} from './handlers/handlePeerFrame.ts';
import {handleClaimOutcome} from './handlers/handleClaimOutcome.ts';
import {withdrawAttempt} from './handlers/withdrawAttempt.ts';
import {expireAttempts} from './systems/expireAttempts.ts';
import {evictOutcomes} from './systems/evictOutcomes.ts';
import {refuseInfeasible} from './systems/refuseInfeasible.ts';
import {startAttempts} from './systems/startAttempts.ts';

type Options = Pick<
  EndpointState,
  | 'name'
  | 'incarnation'
  | 'slots'
  | 'queueOrder'
  | 'maximumQueueLength'
  | 'retentionMilliseconds'
  | 'retentionBytes'
  | 'homePartitionCount'
  | 'maximumSkewMilliseconds'
>;

interface EndpointCore {
  /**
   * Applies an event and returns the commands that follow from it, in the order
   * in which to execute them. `now` is in monotonic milliseconds.
   */
  handle(event: EndpointEvent, now: number): EndpointCommand[];
  /** Returns the numbers of queued and running attempts and of slots. */
  getLoad(): LoadReport;
  readonly state: EndpointState;
}

type Handlers = {
  [Tag in EndpointEvent['tag']]: (
    state: EndpointState,
    event: Extract<EndpointEvent, {tag: Tag}>,
    now: number,
  ) => void;
};

const HANDLERS: Handlers = {
  frameArrived: (state, event, now) =>
    handlePeerFrame(state, event.peer, event.frame, now),
  ...handleBackend,
  peerDisconnected(state, event, now) {
    for (const attempt of [...state.attempts.rows()]) {
      if (attempt.peer !== event.peer || attempt.state === 'finished') continue;
      // The caller may retry an action through another entry, so the action
      // goes on.
      if (!attempt.frame.idempotent) continue;
      withdrawAttempt(state, attempt.frame, now);
    }
  },
  leaveRequested(state) {
    state.leaving = true;
  },
  homesRead(state, event) {
    // Reads may arrive out of order; the revision of the store orders them.
    if (event.revision <= state.homes.revision) return;
    state.homes = createHomeMap(event.record, event.revision);
  },
  homesReleasing(state, event) {
    for (const home of event.homes) {
      const {epoch, until} = home;
      const partitionId = getPartitionId(home);
      const known = state.releases.get(partitionId);
      // A retry of a release keeps the end of the first write.
      const isFirst = known === undefined || known.epoch < epoch;
      if (isFirst) state.releases.insert(partitionId, {epoch, until});
    }
  },
  configurationInForce(state, event) {
    const current = state.configuration?.sequence ?? 0;
    if (event.view.sequence > current) state.configuration = event.view;
  },
  claimResolved: (state, event, now) =>
    handleClaimOutcome(state, event.attemptId, event.outcome, now),
  ticked: (state, _event, now) => evictOutcomes(state, now),
};

function updateLeavingSince(state: EndpointState, now: number): void {
  const record = state.configuration?.endpoints.get(state.name);
  const isLeaving = state.leaving || record?.draining === true;
  if (!isLeaving) state.leavingSince = null;
  else state.leavingSince ??= now;
}

/**
 * Creates the decision core of an endpoint process: its queue, attempts and
 * tombstones, and the outcomes of the actions that it has accepted as their
 * home. The core does no input or output and reads no clock.
 *
 * @example
 *     const core = createEndpointCore(options);
 *     core.handle({tag: 'leaveRequested'}, now); // []
 */
export function createEndpointCore(options: Options): EndpointCore {
  const state: EndpointState = {
    ...options,
    schedulerState: {
      servedByAccount: new Map(),
      minimumService: 0,
      shortSeenAt: -Infinity,
      unitMilliseconds: new Map(),
    },
    attempts: createTable(),
    tombstones: createTable(),
    begunActions: createTable(),
    actions: createTable(),
    homes: createHomeMap(emptyHomeRecord, 0),
    releases: createTable(),
    configuration: null,
    leaving: false,
    leavingSince: null,
    running: 0,
    queued: 0,
    retainedBytes: 0,
    watermark: 0,
    commands: [],
  };
  return {
    state,
    getLoad: () => ({
      queued: state.queued,
      running: state.running,
      capacity: state.slots,
    }),
    handle(event, now) {
      const handler = HANDLERS[event.tag] as (
        state: EndpointState,
        event: EndpointEvent,
        now: number,
      ) => void;
      handler(state, event, now);
      updateLeavingSince(state, now);
      // Tokens free no slot and change no queued attempt.
      if (event.tag !== 'backendTokens') {
        expireAttempts(state, now);
        refuseInfeasible(state, now);
        startAttempts(state, now);
      }
      const {commands} = state;
      state.commands = [];
      return commands;
    },
  };
}
