import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {ServeError} from 'hickorywharf-types/serveError';
import {getNearestName} from 'hickorywharf-utils/getNearestName';
import type {EntryEvent} from '../entryEvent.ts';
import type {EntryState} from '../entryState.ts';
import {getRequestHalf} from '../getRequestHalf.ts';
import {recordArrival} from '../load/recordArrival.ts';
import {admissionPolicies} from '../policies/admissionPolicies.ts';

type Arrival = Extract<EntryEvent, {tag: 'requestArrived'}>;
type RecordOf<Kind> = Extract<ConfigurationRecord, {kind: Kind}>;

interface Target {
  readonly pipeline: RecordOf<'pipeline'>;
  readonly account: RecordOf<'account'>;
  readonly half: string | null;
  readonly route: string;
}

const NOT_RUN = {peer: null, outcome: 'notRun'} as const;

function findTarget(
  state: EntryState,
  event: Arrival,
): {target: Target} | {error: ServeError} {
  const {configuration} = state;
  if (configuration === null) {
    const message = 'This entry has no configuration yet.';
    return {error: {...NOT_RUN, tag: 'notReady', step: 'admit', message}};
  }
  const account = configuration.accountsByKeyHash.get(event.keyHash);
  if (account === undefined) {
    const message = 'The key in Authorization is missing or not known.';
    return {
      error: {
        ...NOT_RUN,
        tag: 'unauthenticated',
        step: 'authenticate',
        message,
      },
    };
  }
  const route = configuration.routes.get(event.pipelineName);
  const pipelineName = route?.pipeline ?? event.pipelineName;
  const pipeline = configuration.pipelines.get(pipelineName);
  if (pipeline === undefined) {
    const names = [
      ...configuration.pipelines.keys(),
      ...configuration.routes.keys(),
    ];
    const nearest = getNearestName(event.pipelineName, names);
    const message = `No pipeline or route is named '${event.pipelineName}'.`;
    return {
      error: {
        ...NOT_RUN,
        tag: 'unknownPipeline',
        step: 'route',
        nearest,
        message,
      },
    };
  }
  const origin = {
    // Also where no route has this name now: one may have had it before.
    route: event.pipelineName,
    accountKeyHash: event.keyHash,
    idempotencyKey: event.idempotencyKey,
  };
  const half = getRequestHalf(configuration, origin);
  return {target: {pipeline, account, half, route: origin.route}};
}

function findKeyError(target: Target, event: Arrival): ServeError | null {
  const needsKey = target.pipeline.stages.some((stage) => !stage.idempotent);
  if (!needsKey || event.idempotencyKey !== null) return null;
  return {
    ...NOT_RUN,
    tag: 'invalidRequest',
    step: 'admit',
    field: 'Idempotency-Key',
    message: 'This pipeline has an action: send an Idempotency-Key.',
  };
}

function createOverloaded(
  message: string,
  retryAfterSeconds: number,
): ServeError {
  return {
    ...NOT_RUN,
    tag: 'overloaded',
    step: 'admit',
    retryAfterSeconds,
    message,
  };
}

function getDeadlineMilliseconds(event: Arrival, target: Target): number {
  const {deadlineMilliseconds} = target.pipeline;
  return Math.min(
    event.deadlineMilliseconds ?? deadlineMilliseconds,
    deadlineMilliseconds,
  );
}

function findLimitError(
  state: EntryState,
  event: Arrival,
  target: Target,
  now: number,
): ServeError | null {
  if (!recordArrival(state.load, target.account, now)) {
    const message = 'The account is over its rate limit.';
    return createOverloaded(message, 1);
  }
  if (state.requests.size >= state.maximumRequests) {
    const message = 'This entry has reached its limit of requests in flight.';
    return createOverloaded(message, 1);
  }
  const retryAfterSeconds = admissionPolicies[state.policies.admission]!(
    state,
    {
      ...target,
      deadlineMilliseconds: getDeadlineMilliseconds(event, target),
    },
  );
  if (retryAfterSeconds === null) return null;
  const message =
    'The current load does not allow an answer within the deadline.';
  return createOverloaded(message, retryAfterSeconds);
}

function insertRequest(
  state: EntryState,
  event: Arrival,
  target: Target,
  now: number,
): void {
  const {pipeline, account, half, route} = target;
  const deadline = getDeadlineMilliseconds(event, target);
  const inFlight = state.inFlightByAccount.get(account.name) ?? 0;
  state.inFlightByAccount.set(account.name, inFlight + 1);
  state.requests.insert(event.requestId, {
    requestId: event.requestId,
    pipeline,
    half,
    route,
    // The configuration is never null here: it gave the target.
    assignmentSequence: state.configuration?.assignmentSequence ?? 0,
    account: account.name,
    accountKeyHash: event.keyHash,
    accountWeight: account.weight,
    input: event.input,
    idempotencyKey: event.idempotencyKey,
    bodyDigest: event.bodyDigest,
    traceparent: event.traceparent,
    acceptedAt: now,
    deadlineAt: now + deadline,
    stageIndex: 0,
    stageStartedAt: now,
    outputs: [],
    phase: 'ready',
    readyAt: now,
    excluded: new Set(),
    currentAttemptId: null,
    tokens: [],
    attemptsMade: 0,
    begun: false,
    actionMayHaveRun: false,
    keyMayHaveRun: false,
    tombstoneSent: false,
    lastError: null,
  });
}

/**
 * Admits a request or refuses it before any work is done, where a refusal
 * costs nothing and its outcome is provably `notRun`.
 *
 * @example
 *     handleRequestArrived(state, event, now);
 *     state.requests.get(event.requestId)?.phase; // 'ready' if admitted
 */
export function handleRequestArrived(
  state: EntryState,
  event: Arrival,
  now: number,
): void {
  const found = findTarget(state, event);
  const error =
    'error' in found
      ? found.error
      : (findKeyError(found.target, event) ??
        findLimitError(state, event, found.target, now));
  if (error !== null) {
    const {requestId} = event;
    state.commands.push({tag: 'fail', requestId, error});
    return;
  }
  if ('target' in found) insertRequest(state, event, found.target, now);
}
