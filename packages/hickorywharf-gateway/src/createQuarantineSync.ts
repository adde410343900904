import {createQuarantine} from 'hickorywharf-decisions/gateway/createQuarantine';
import {createWaitingCalls} from 'hickorywharf-decisions/gateway/createWaitingCalls';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {QuarantineRecord} from 'hickorywharf-types/gateway/quarantineRecord';
import type {CallWatch} from './callWatch.ts';
import {createEndDetector} from './createEndDetector.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';

interface QuarantineOptions {
  /** Name of this instance. */
  readonly name: string;
  readonly state: GatewayState;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Monotonic milliseconds. */
  now(): number;
  /** Sends records to all connected peers. */
  broadcast(records: readonly QuarantineRecord[]): void;
}

interface QuarantinedCall extends Pick<
  Parameters<ReturnType<typeof createWaitingCalls>['start']>[1],
  'requestId' | 'parts' | 'getRequest'
> {
  readonly bodyBytes: number;
}

interface QuarantineSync {
  setInstances(names: readonly string[]): void;
  /**
   * Null if a call may go on. With `isSend` the call is sent at once, and uses
   * up the trial of what is quarantined.
   */
  check(
    call: QuarantinedCall,
    isSend: boolean,
  ): {readonly part: string; readonly retryAfterMilliseconds: number} | null;
  /**
   * Milliseconds for which a call is kept from the last endpoint that is left;
   * 0 if it may be sent.
   *
   * @param endpoints those that may run it
   */
  getLastEndpointWait(
    call: QuarantinedCall,
    endpoints: readonly GatewayEndpoint[],
  ): number;
  /** Watches a call that is sent to an endpoint now. */
  watchCall(endpoint: GatewayEndpoint, call: QuarantinedCall): CallWatch;
  /** Resolves when it is known whether the endpoint's process ended. */
  waitForProbe(endpoint: GatewayEndpoint): Promise<void>;
  /** Handles what a peer told. */
  handle(peer: string, records: readonly QuarantineRecord[]): void;
  /** All records, for a peer that has connected. */
  listRecords(): QuarantineRecord[];
  /** Drops what is too old. To be called regularly. */
  flush(): void;
}

/**
 * Whole answers to requests with longer bodies are remembered only while an end
 * is, as their names take more time to compute.
 */
const MAXIMUM_PROVEN_BYTES = 65_536;
/** Reads of complete events after which a stream has gone on. */
const PROGRESS_READS = 2;
/** Bounds the lists in one log line. */
const MAXIMUM_LOGGED = 12;

/** Identifies one process of an endpoint. */
const getProcess = ({id, startedAt}: GatewayEndpoint): string =>
  `${id}/${startedAt}`;

/**
 * Keeps calls from being sent under which, or under a part of whose prompts,
 * processes of endpoints ended, and exchanges with peers what each instance
 * observed.
 *
 * @example
 *     const quarantine = createQuarantineSync(options);
 *     const watch = quarantine.watchCall(endpoint, {requestId: '9c41', parts, getRequest, bodyBytes: 0});
 *     watch.recordBroken('read ECONNRESET');
 *     watch.end();
 */
export function createQuarantineSync(
  options: QuarantineOptions,
): QuarantineSync {
  const {state, log, metrics, now} = options;
  const quarantine = createQuarantine(options.name);
  const waiting = createWaitingCalls();
  const detector = createEndDetector({state, metrics});

  function describePart(part: string) {
    const {strikes, progressAge, ends} = quarantine.describe(part, now());
    return {
      part,
      strikes,
      progressAge: progressAge === null ? null : Math.round(progressAge),
      ends: ends
        .slice(-MAXIMUM_LOGGED)
        .map(({process, age}) => ({process, age: Math.round(age)})),
    };
  }

  const loggers: {
    readonly [Tag in QuarantineRecord['tag']]: (
      record: Extract<QuarantineRecord, {tag: Tag}>,
      source: string,
    ) => void;
  } = {
    end({process, suspects, ageMilliseconds}, source) {
      log.infoRateLimited('suspects of an ended process', {
        step: 'quarantine',
        process,
        source,
        age: Math.round(ageMilliseconds),
        suspects: suspects
          .slice(0, MAXIMUM_LOGGED)
          .map(({part, sentAgeMilliseconds}) => ({
            part,
            sentAge: Math.round(sentAgeMilliseconds),
            strikes: quarantine.describe(part, now()).strikes,
            isQuarantined: quarantine.isQuarantined(part),
          })),
        suspectCount: suspects.length,
      });
    },
    progress({part, ageMilliseconds}, source) {
      log.infoRateLimited('suspect cleared', {
        step: 'quarantine',
        part,
        source,
        age: Math.round(ageMilliseconds),
      });
    },
    verdict({part, others, ageMilliseconds}, source) {
      log.infoAlways('suspect quarantined', {
        step: 'quarantine',
        source,
        age: Math.round(ageMilliseconds),
        others,
        ...describePart(part),
      });
    },
    trial({part, index}, source) {
      log.infoAlways('suspect on trial', {
        step: 'quarantine',
        part,
        source,
        index,
      });
    },
    asked: () => undefined,
  };

  /** Logs records that are new and tells all peers. */
  function tell(records: readonly QuarantineRecord[], source: string): void {
    if (records.length === 0) return;
    for (const record of records) {
      metrics.count('promptParts', record.tag);
      loggers[record.tag](record as never, source);
    }
    options.broadcast(records);
  }

  function handleBroken(
    endpoint: GatewayEndpoint,
    process: string,
    reason: string,
  ): void {
    const endedAt = now();
    const calls = waiting.list(process);
    detector.check(endpoint, (proof) => {
      const suspected = calls.map(({parts, getRequest, sentAt}) => ({
        parts: [...parts, getRequest()],
        sentAt,
      }));
      const records = quarantine.recordEnd(process, suspected, endedAt, now());
      log.infoAlways('endpoint process ended', {
        step: 'quarantine',
        peer: endpoint.id,
        process,
        reason,
        proof,
        age: Math.round(now() - endedAt),
        waiting: calls.length,
        requestIds: calls
          .slice(0, MAXIMUM_LOGGED)
          .map(({requestId}) => requestId),
        requests: calls
          .slice(0, MAXIMUM_LOGGED)
          .map(({getRequest}) => getRequest()),
        explainedBy: [...new Set(suspected.flatMap(({parts}) => parts))].filter(
          quarantine.isQuarantined,
        ),
      });
      tell(records, 'own');
    });
  }

  return {
    setInstances: quarantine.setInstances,
    check({requestId, parts: promptParts, getRequest}, isSend) {
      if (quarantine.getSize() === 0) return null;
      const parts = [...promptParts, getRequest()];
      const decision = quarantine.check(parts, now());
      if (decision.tag === 'allowed') return null;
      if (decision.tag === 'trial') {
        if (!isSend) return null;
        log.infoAlways('quarantined call sent', {
          step: 'quarantine',
          requestId,
          evidence: decision.parts.map(describePart),
        });
        tell(quarantine.startTrial(parts, now()), 'own');
        return null;
      }
      metrics.count('promptParts', 'refused');
      tell(quarantine.recordAsked(parts, now()), 'own');
      return decision;
    },
    getLastEndpointWait({getRequest}, endpoints) {
      if (!quarantine.hasEnds()) return 0;
      return quarantine.getLastEndpointWait(
        getRequest(),
        endpoints.map(getProcess),
        now(),
      );
    },
    watchCall(endpoint, call) {
      const process = getProcess(endpoint);
      const sentAt = now();
      let end = waiting.start(process, {...call, sentAt});
      let reads = 0;
      const recordProgress = (): void => {
        end();
        // Only a whole answer clears the request.
        end = waiting.start(process, {...call, parts: [], sentAt});
        tell(quarantine.recordProgress(call.parts, now()), 'own');
      };
      return {
        recordEvents() {
          reads += 1;
          if (reads === PROGRESS_READS) recordProgress();
        },
        recordAnswer() {
          recordProgress();
          if (call.bodyBytes > MAXIMUM_PROVEN_BYTES && !quarantine.hasEnds()) {
            return;
          }
          tell(quarantine.recordProgress([call.getRequest()], now()), 'own');
        },
        recordBroken: (reason) => handleBroken(endpoint, process, reason),
        end: () => end(),
      };
    },
    waitForProbe: detector.waitForProbe,
    handle(peer, records) {
      if (records.length === 0) return;
      tell(quarantine.merge(records, now()), peer);
    },
    listRecords: () => quarantine.list(now()),
    flush: () => quarantine.dropExpired(now()),
  };
}
