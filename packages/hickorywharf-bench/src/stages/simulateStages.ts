import {estimateWaits} from 'hickorywharf-decisions/gateway/estimateWaits';
import {forecastStage} from 'hickorywharf-decisions/gateway/forecastStage';
import {forecastCall} from 'hickorywharf-decisions/gateway/forecastCall';
import {getStartDelay} from 'hickorywharf-decisions/gateway/getStartDelay';
import {getRemainingTimes} from 'hickorywharf-decisions/gateway/getRemainingTimes';
import {decideAdmission} from 'hickorywharf-decisions/gateway/decideAdmission';
import type {PieceGroup} from 'hickorywharf-decisions/gateway/pieceGroup';
import type {StageForecast} from 'hickorywharf-decisions/gateway/stageForecast';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import {createArrivals} from './createArrivals.ts';
import {createEventQueue} from './createEventQueue.ts';
import type {StageLoad} from './stageLoad.ts';
import type {ModelEndpoint} from './modelEndpoint.ts';
import type {ModelRequest} from './modelRequest.ts';
import {stagePolicies} from './stagePolicies.ts';
import type {StagePolicy} from './stagePolicy.ts';
import {summarizeRequests} from './summarizeRequests.ts';

interface Group extends PieceGroup {
  readonly request: ModelRequest;
  readonly stage: number;
  /** Where results of the group were made so far. */
  readonly made: Map<ModelEndpoint, number>;
  count: number;
  isBegun: boolean;
  unmade: number;
}

/** From the last result to the first event, with an engine that is not full. */
const ENGINE_MILLISECONDS = 200;
const SWEEP_MILLISECONDS = 25;

/**
 * Plays a load against a small model of the services of stages: calls of
 * `call + pieces x work`, memory for results until they are read, one call at a
 * time on each endpoint.
 *
 * @param policy how calls are filled, by name
 * @example
 *     simulateStages(burstLoad, 'groups', 1).worth;
 */
export function simulateStages(
  load: StageLoad,
  policy: keyof typeof stagePolicies,
  seed: number,
): ReturnType<typeof summarizeRequests> {
  const {plan, isAdmitting, isDelaying}: StagePolicy = stagePolicies[policy];
  const waiting = new Map<string, Set<Group>>();
  const endpoints = new Map<string, ModelEndpoint[]>();
  const {getNow, schedule, play} = createEventQueue();

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

  function getKind({kind}: ModelRequest) {
    return load.kinds[kind]!;
  }

  /** Positions of the stages that a stage reads. */
  function getAfter(request: ModelRequest, stage: number): readonly number[] {
    const {after} = getKind(request).stages[stage]!;
    return after ?? (stage === 0 ? [] : [stage - 1]);
  }

  function listReaders(request: ModelRequest, stage: number): number[] {
    return request.pieces.flatMap((_count, later) =>
      getAfter(request, later).includes(stage) ? [later] : [],
    );
  }

  function describeStages(
    request: ModelRequest,
    getWaits: (service: string) => Omit<StageWaits, 'service'> | null,
  ): StageForecast[] {
    const {stages, priority} = getKind(request);
    return stages.map(({service}, stage) => {
      const isUsed = request.pieces[stage]! > 0;
      return forecastStage({
        after: getAfter(request, stage),
        capacity: isUsed ? load.services[service]! : null,
        waits: getWaits(service),
        priority,
      });
    });
  }

  function end(request: ModelRequest, outcome: ModelRequest['outcome']): void {
    if (request.outcome !== null) return;
    request.outcome = outcome;
    request.endedAt = getNow();
    request.held.forEach((held, stage) => release(held, request, stage));
  }

  function release(
    held: Map<ModelEndpoint, number>,
    request: ModelRequest,
    stage: number,
  ): void {
    const {resultBytes} = getKind(request).stages[stage]!;
    for (const [endpoint, count] of held) {
      endpoint.heldBytes -= count * resultBytes;
    }
    held.clear();
  }

  function getDelay(request: ModelRequest, stage: number): number {
    if (isDelaying !== true) return 0;
    const progress = describeStages(request, getWaits).map(
      (forecast, index) => {
        const begunAt = request.begunAt[index]!;
        const age = begunAt === null ? null : getNow() - begunAt;
        return {
          after: forecast.after,
          milliseconds:
            forecast.timelyWaitMilliseconds + forecast.workMilliseconds,
          orderedMilliseconds: request.isMade[index] ? Infinity : age,
        };
      },
    );
    return getStartDelay(progress, stage);
  }

  /** Begins each stage whose inputs are there, or the engine. */
  function advance(request: ModelRequest): void {
    if (request.outcome !== null) return;
    if (request.isMade.every((isMade) => isMade)) {
      schedule(getNow() + ENGINE_MILLISECONDS, () => finish(request));
      return;
    }
    let nextDelay = Infinity;
    request.pieces.forEach((_count, stage) => {
      const isReadable = getAfter(request, stage).every(
        (earlier) => request.isMade[earlier],
      );
      if (request.begunAt[stage] !== null || !isReadable) return;
      const delay = getDelay(request, stage);
      if (delay === 0) startStage(request, stage);
      else nextDelay = Math.min(nextDelay, Math.max(delay, 1));
    });
    if (nextDelay === Infinity) return;
    // Only the last look that was arranged counts.
    const look = (request.looks += 1);
    schedule(getNow() + nextDelay, () => {
      if (request.looks === look) advance(request);
    });
  }

  function finish(request: ModelRequest): void {
    const {targetMilliseconds, deadlineMilliseconds} = getKind(request);
    const took = getNow() - request.at;
    if (took > deadlineMilliseconds) end(request, 'refused');
    else end(request, took <= targetMilliseconds ? 'timely' : 'late');
  }

  function startStage(request: ModelRequest, stage: number): void {
    const {stages, priority, targetMilliseconds, deadlineMilliseconds} =
      getKind(request);
    const {service, resultBytes, workShare} = stages[stage]!;
    const after = getRemainingTimes(
      describeStages(request, () => null),
      ENGINE_MILLISECONDS,
    )[stage]!;
    const count = request.pieces[stage]!;
    request.begunAt[stage] = getNow();
    waiting.get(service)!.add({
      request,
      stage,
      made: new Map(),
      count,
      unmade: count,
      isBegun: false,
      priority,
      targetAt: request.at + targetMilliseconds - after,
      deadlineAt: request.at + deadlineMilliseconds - after,
      resultBytes,
      workMilliseconds: load.services[service]!.pieceMilliseconds * workShare,
      failureDomain: null,
    });
    pump(service);
  }

  function pump(name: string): void {
    const service = load.services[name]!;
    const groups = waiting.get(name)!;
    for (const endpoint of endpoints.get(name)!) {
      if (endpoint.isBusy || groups.size === 0) continue;
      const shares = plan(groups, getNow(), {
        batch: service.batch,
        callMilliseconds: service.callMilliseconds,
        roomBytes: service.roomBytes - endpoint.heldBytes,
        failureDomain: '',
        otherDomainWaits: new Map(),
      }) as unknown as Array<{group: Group; count: number}>;
      if (shares.length === 0) continue;
      let time = service.callMilliseconds;
      for (const {group, count} of shares) {
        group.isBegun = true;
        group.count -= count;
        if (group.count === 0) groups.delete(group);
        endpoint.heldBytes += count * group.resultBytes;
        time += count * group.workMilliseconds;
      }
      endpoint.isBusy = true;
      schedule(getNow() + time, () => {
        endpoint.isBusy = false;
        for (const {group, count} of shares) {
          finishShare(group, endpoint, count);
        }
        pump(name);
      });
    }
  }

  function finishShare(
    group: Group,
    endpoint: ModelEndpoint,
    count: number,
  ): void {
    const {request, stage} = group;
    group.unmade -= count;
    group.made.set(endpoint, (group.made.get(endpoint) ?? 0) + count);
    if (request.outcome !== null) {
      release(group.made, request, stage);
      return;
    }
    if (group.unmade > 0) return;
    request.isMade[stage] = true;
    request.held[stage] = group.made;
    for (const earlier of getAfter(request, stage)) {
      const isRead = listReaders(request, earlier).every(
        (reader) => request.isMade[reader],
      );
      if (isRead) release(request.held[earlier]!, request, earlier);
    }
    advance(request);
  }

  function estimate(name: string) {
    const {batch, callMilliseconds} = load.services[name]!;
    return estimateWaits(waiting.get(name)!, getNow(), {
      endpoints: endpoints.get(name)!.length,
      batch,
      callMilliseconds,
      untilFreeMilliseconds: callMilliseconds / 2,
    });
  }

  const getWaits = (name: string) => estimate(name).waits;

  function isAdmitted(request: ModelRequest): boolean {
    const {targetMilliseconds, deadlineMilliseconds} = getKind(request);
    const forecast = forecastCall(
      describeStages(request, getWaits),
      ENGINE_MILLISECONDS,
    );
    const admission = decideAdmission({
      forecast,
      targetLeftMilliseconds: targetMilliseconds,
      timeLeftMilliseconds: deadlineMilliseconds,
    });
    return admission.tag !== 'refused';
  }

  function sweep(): void {
    for (const [name, groups] of waiting) {
      const {infeasible} = isAdmitting ? estimate(name) : {infeasible: []};
      for (const group of groups) {
        const isOver = getNow() + group.workMilliseconds >= group.deadlineAt;
        if (!isOver && !infeasible.some((other) => other === group)) continue;
        groups.delete(group);
        release(group.made, group.request, group.stage);
        end(group.request, 'refused');
      }
      pump(name);
    }
    if (getNow() < load.seconds * 1000 + 20_000) {
      schedule(getNow() + SWEEP_MILLISECONDS, sweep);
    }
  }

  const requests = createArrivals(load, seed).map((arrival): ModelRequest => ({
    ...arrival,
    begunAt: arrival.pieces.map((count) => (count > 0 ? null : -Infinity)),
    looks: 0,
    isMade: arrival.pieces.map((count) => count === 0),
    held: arrival.pieces.map(() => new Map()),
    outcome: null,
    endedAt: 0,
  }));
  for (const request of requests) {
    schedule(request.at, () => {
      if (isAdmitting && !isAdmitted(request)) end(request, 'refused');
      else advance(request);
    });
  }
  schedule(0, sweep);
  play();
  return summarizeRequests(load, requests);
}
