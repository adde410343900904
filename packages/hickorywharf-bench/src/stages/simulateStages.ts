import {estimateWaits} from 'hickorywharf-decisions/gateway/estimateWaits';
import {getStartDelay} from 'hickorywharf-decisions/gateway/getStartDelay';
import {getRemainingTimes} from 'hickorywharf-decisions/gateway/getRemainingTimes';
import type {PieceGroup} from 'hickorywharf-decisions/gateway/pieceGroup';
import {createArrivals} from './createArrivals.ts';
import {createEventQueue} from './createEventQueue.ts';
import {createSimulatedAdmission} from './createSimulatedAdmission.ts';
import {forecastSimulatedStages} from './forecastSimulatedStages.ts';
import {getSimulatedInputs} from './getSimulatedInputs.ts';
import type {StageLoad} from './stageLoad.ts';
import type {SimulatedEndpoint} from './simulatedEndpoint.ts';
import type {SimulatedRequest} from './simulatedRequest.ts';
import {stagePolicies} from './stagePolicies.ts';
import type {StagePolicy} from './stagePolicy.ts';
import {summarizeRequests} from './summarizeRequests.ts';

interface Group extends PieceGroup {
  readonly request: SimulatedRequest;
  readonly stage: number;
  /** Results of the group computed so far, by endpoint. */
  readonly made: Map<SimulatedEndpoint, number>;
  /** Pieces that wait. */
  count: number;
  isStarted: boolean;
  /** Pieces whose results are not computed. */
  uncomputed: number;
}

/** Time from the last result to the first event of an engine with free slots. */
const ENGINE_MILLISECONDS = 200;
const SWEEP_MILLISECONDS = 25;

/**
 * Simulates the services of stages under a load. A call takes its fixed time and
 * the work of its pieces, results occupy memory until the stages that read them
 * are computed, and each endpoint runs one call at a time.
 *
 * @param policy name of the policy that fills and admits calls
 * @example
 *     simulateStages(burstLoad, 'groups', 1).worth;
 */
export function simulateStages(
  load: StageLoad,
  policy: keyof typeof stagePolicies,
  seed: number,
): ReturnType<typeof summarizeRequests> {
  const {
    plan,
    hasAdmission,
    hasStartDelay,
    hasShares,
    hasLaterWaits,
  }: StagePolicy = stagePolicies[policy];
  const waiting = new Map<string, Set<Group>>();
  const endpoints = new Map<string, SimulatedEndpoint[]>();
  const {getNow, schedule, runAll} = createEventQueue();
  const isOver = (): boolean => getNow() >= load.seconds * 1000 + 20_000;
  const admission = createSimulatedAdmission({
    load,
    policy: stagePolicies[policy],
    engineMilliseconds: ENGINE_MILLISECONDS,
    getNow,
    schedule,
    isOver,
    getWaits: (name) => getWaits(name),
    onAdmitted: (request) => advance(request),
    onRefused: (request) => endRequest(request, 'refused'),
  });

  for (const [service, {endpoints: count}] of Object.entries(load.services)) {
    waiting.set(service, new Set());
    endpoints.set(
      service,
      Array.from({length: count}, () => ({
        service,
        isBusy: false,
        heldBytes: 0,
      })),
    );
  }

  function getKind({kind}: SimulatedRequest) {
    return load.kinds[kind]!;
  }

  function getInputStages(
    request: SimulatedRequest,
    stage: number,
  ): readonly number[] {
    return getSimulatedInputs(getKind(request), stage);
  }

  function getReaderStages(request: SimulatedRequest, stage: number): number[] {
    return request.pieces.flatMap((_count, later) =>
      getInputStages(request, later).includes(stage) ? [later] : [],
    );
  }

  function endRequest(
    request: SimulatedRequest,
    outcome: SimulatedRequest['outcome'],
  ): void {
    if (request.outcome !== null) return;
    request.outcome = outcome;
    request.endShare?.();
    request.endedAt = getNow();
    request.held.forEach((held, stage) => release(held, request, stage));
  }

  function release(
    held: Map<SimulatedEndpoint, number>,
    request: SimulatedRequest,
    stage: number,
  ): void {
    const {resultBytes} = getKind(request).stages[stage]!;
    for (const [endpoint, count] of held) {
      endpoint.heldBytes -= count * resultBytes;
    }
    held.clear();
  }

  function getDelay(request: SimulatedRequest, stage: number): number {
    if (hasStartDelay !== true) return 0;
    const progress = forecastSimulatedStages(load, request, getWaits).map(
      (forecast, index) => {
        const startedAt = request.startedAt[index]!;
        const age = startedAt === null ? null : getNow() - startedAt;
        return {
          after: forecast.after,
          milliseconds:
            forecast.timelyWaitMilliseconds + forecast.workMilliseconds,
          orderedMilliseconds: request.isComputed[index] ? Infinity : age,
        };
      },
    );
    return getStartDelay(progress, stage);
  }

  /** Starts each stage whose inputs are computed, or finally the engine. */
  function advance(request: SimulatedRequest): void {
    if (request.outcome !== null) return;
    if (request.isComputed.every((isComputed) => isComputed)) {
      schedule(getNow() + ENGINE_MILLISECONDS, () => finishEngine(request));
      return;
    }
    let nextDelay = Infinity;
    request.pieces.forEach((_count, stage) => {
      const hasInputs = getInputStages(request, stage).every(
        (earlier) => request.isComputed[earlier],
      );
      if (request.startedAt[stage] !== null || !hasInputs) return;
      const delay = getDelay(request, stage);
      if (delay === 0) startStage(request, stage);
      else nextDelay = Math.min(nextDelay, Math.max(delay, 1));
    });
    if (nextDelay === Infinity) return;
    // The latest recheck replaces those scheduled before.
    const recheck = (request.recheckCount += 1);
    schedule(getNow() + nextDelay, () => {
      if (request.recheckCount === recheck) advance(request);
    });
  }

  function finishEngine(request: SimulatedRequest): void {
    const {targetMilliseconds, deadlineMilliseconds} = getKind(request);
    const elapsed = getNow() - request.at;
    if (elapsed > deadlineMilliseconds) endRequest(request, 'refused');
    else endRequest(request, elapsed <= targetMilliseconds ? 'timely' : 'late');
  }

  function startStage(request: SimulatedRequest, stage: number): void {
    const {stages, priority, targetMilliseconds, deadlineMilliseconds} =
      getKind(request);
    const {service, resultBytes, workShare} = stages[stage]!;
    const [after, afterWaits] = [() => null, getWaits].map(
      (waits) =>
        getRemainingTimes(
          forecastSimulatedStages(load, request, waits),
          ENGINE_MILLISECONDS,
        )[stage]!,
    ) as [number, number];
    const reserved = hasLaterWaits === true ? afterWaits : after;
    const count = request.pieces[stage]!;
    request.startedAt[stage] = getNow();
    waiting.get(service)!.add({
      request,
      stage,
      made: new Map(),
      count,
      uncomputed: count,
      isStarted: false,
      priority,
      targetAt: request.at + targetMilliseconds - reserved,
      deadlineAt: request.at + deadlineMilliseconds - after,
      resultBytes,
      workMilliseconds: load.services[service]!.pieceMilliseconds * workShare,
      failureDomain: null,
      hasInputs: getInputStages(request, stage).length > 0,
      account: (hasShares ? getKind(request).account : null) ?? null,
    });
    dispatch(service);
  }

  /** Starts the next call on each idle endpoint of a service. */
  function dispatch(name: string): void {
    const service = load.services[name]!;
    const groups = waiting.get(name)!;
    for (const endpoint of endpoints.get(name)!) {
      if (endpoint.isBusy || groups.size === 0) continue;
      const shares = plan(groups, getNow(), {
        batch: service.batch,
        callMilliseconds: service.callMilliseconds,
        endpoints: service.endpoints,
        roomBytes: service.roomBytes - endpoint.heldBytes,
        failureDomain: '',
        otherDomainWaits: new Map(),
      }) as unknown as Array<{group: Group; count: number}>;
      if (shares.length === 0) continue;
      let duration = service.callMilliseconds;
      for (const {group, count} of shares) {
        group.isStarted = true;
        group.count -= count;
        if (group.count === 0) groups.delete(group);
        endpoint.heldBytes += count * group.resultBytes;
        duration += count * group.workMilliseconds;
      }
      endpoint.isBusy = true;
      schedule(getNow() + duration, () => {
        endpoint.isBusy = false;
        for (const {group, count} of shares) {
          finishShare(group, endpoint, count);
        }
        dispatch(name);
      });
    }
  }

  function finishShare(
    group: Group,
    endpoint: SimulatedEndpoint,
    count: number,
  ): void {
    const {request, stage} = group;
    group.uncomputed -= count;
    group.made.set(endpoint, (group.made.get(endpoint) ?? 0) + count);
    if (request.outcome !== null) {
      release(group.made, request, stage);
      return;
    }
    if (group.uncomputed > 0) return;
    request.isComputed[stage] = true;
    request.held[stage] = group.made;
    for (const earlier of getInputStages(request, stage)) {
      const isRead = getReaderStages(request, earlier).every(
        (reader) => request.isComputed[reader],
      );
      if (isRead) release(request.held[earlier]!, request, earlier);
    }
    advance(request);
  }

  function estimateService(name: string) {
    const {batch, callMilliseconds} = load.services[name]!;
    return estimateWaits(waiting.get(name)!, getNow(), {
      endpoints: endpoints.get(name)!.length,
      batch,
      callMilliseconds,
      untilFreeMilliseconds: callMilliseconds / 2,
    });
  }

  const getWaits = (name: string) => estimateService(name).waits;

  /** Refuses requests whose waiting pieces miss the deadline. */
  function sweep(): void {
    for (const [name, groups] of waiting) {
      const {infeasible} = hasAdmission
        ? estimateService(name)
        : {infeasible: []};
      for (const group of groups) {
        const isExpired = getNow() + group.workMilliseconds >= group.deadlineAt;
        if (!isExpired && !infeasible.some((each) => each === group)) continue;
        groups.delete(group);
        release(group.made, group.request, group.stage);
        endRequest(group.request, 'refused');
      }
      dispatch(name);
    }
    if (!isOver()) schedule(getNow() + SWEEP_MILLISECONDS, sweep);
  }

  const requests = createArrivals(load, seed).map(
    (arrival, index): SimulatedRequest => ({
      ...arrival,
      instance: index % (load.instances ?? 1),
      refusals: 0,
      endShare: null,
      startedAt: arrival.pieces.map((count) => (count > 0 ? null : -Infinity)),
      recheckCount: 0,
      isComputed: arrival.pieces.map((count) => count === 0),
      held: arrival.pieces.map(() => new Map()),
      outcome: null,
      endedAt: 0,
    }),
  );
  for (const request of requests) {
    schedule(request.at, () => admission.arrive(request));
  }
  schedule(0, sweep);
  if (hasShares) admission.start();
  runAll();
  return summarizeRequests(load, requests);
}
