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
  /** Takes an event; the commands that follow from it are returned. */
  handle(event: EndpointEvent, now: number): EndpointCommand[];
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
  peerGone(state, event, now) {
    for (const attempt of [...state.attempts.rows()]) {
      if (attempt.peer !== event.peer || attempt.state === 'finished') continue;
      // An action is finished for the caller's retry through another entry.
      if (!attempt.frame.idempotent) continue;
      withdrawAttempt(state, attempt.frame, now);
    }
  },
  leaveRequested(state) {
    state.leaving = true;
  },
  homesKnown(state, event) {
    // Reads may arrive out of order: the store's revision decides.
    if (event.revision <= state.homes.revision) return;
    state.homes = createHomeMap(event.record, event.revision);
  },
  homesReleasing(state, event) {
    for (const home of event.homes) {
      const {epoch, until} = home;
      const key = getPartitionId(home);
      const known = state.releases.get(key);
      const isFirst = known === undefined || known.epoch < epoch;
      if (isFirst) state.releases.insert(key, {epoch, until});
    }
  },
  configurationInForce(state, event) {
    const current = state.configuration?.sequence ?? 0;
    if (event.view.sequence > current) state.configuration = event.view;
  },
  claimSettled: (state, event, now) =>
    handleClaimOutcome(state, event.attemptId, event.outcome, now),
  ticked: (state, _event, now) => evictOutcomes(state, now),
};

function noteDeparture(state: EndpointState, now: number): void {
  const record = state.configuration?.endpoints.get(state.name);
  const isLeaving = state.leaving || record?.draining === true;
  if (!isLeaving) state.leavingSince = null;
  else state.leavingSince ??= now;
}

/**
 * The decisions of an endpoint process: queue, attempts, tombstones, and the
 * memory of the actions that it is home to. It does no input or output and
 * reads no clock.
 *
 * @example
 *     const core = createEndpointCore(options);
 *     core.handle({tag: 'leaveRequested'}, now);
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
      noteDeparture(state, now);
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
