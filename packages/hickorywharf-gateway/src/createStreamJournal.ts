import type {GatewaySource} from 'hickorywharf-types/gateway/gatewaySource';
import type {StreamOrigin} from 'hickorywharf-types/gateway/streamOrigin';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import {readAtStart} from './readAtStart.ts';

interface StreamJournalOptions {
  readonly source: Pick<GatewaySource, 'readStreams' | 'writeStreams'>;
  readonly log: GatewayLog;
  readonly metrics: Pick<GatewayMetrics, 'count'>;
  /** Number of instances, which share the rate of writes. */
  getInstanceCount(): number;
  /** How long a stream may be resumed after its begin, in milliseconds. */
  getLifetime(): number;
  /** Monotonic milliseconds. */
  now(): number;
}

interface StreamJournal {
  /** Writes streams, at once or together with the next ones. */
  add(origins: readonly StreamOrigin[]): void;
  /**
   * What the store had of earlier streams when this instance started; empty if
   * it could not be read until no such stream can be resumed. Never rejects.
   */
  readonly earlierOrigins: Promise<readonly StreamOrigin[]>;
  /** Stops reading and writing. */
  close(): void;
}

/**
 * Between two writes of an instance. Streams that begin meanwhile are lost if it
 * ends, and many last for less than a second.
 */
const WRITE_INTERVAL_MILLISECONDS = 200;
/** With many instances, all of them together write once in this time. */
const SHARED_INTERVAL_MILLISECONDS = 25;
const RETRY_MILLISECONDS = 500;
/** Of one write, to bound its size. */
const MAXIMUM_BATCH = 500;
/** Bounds the memory while the store does not answer; the oldest are dropped. */
const MAXIMUM_WAITING = 5000;

/**
 * Keeps in the platform's store at which versions streams began, so that
 * instances that start after the loss of all others know it. Streams of the last
 * moment before a loss are missing.
 *
 * Designed for the time of a release only: each stream is written once, and the
 * rate of writes does not grow with the number of instances.
 *
 * @example
 *     const journal = createStreamJournal(options);
 *     journal.add([{streamId: '9c41', service: 'engines', version: 'v1'}]);
 */
export function createStreamJournal(
  options: StreamJournalOptions,
): StreamJournal {
  const {source, log, metrics, getInstanceCount, getLifetime, now} = options;
  let waiting: StreamOrigin[] = [];
  let timer: NodeJS.Timeout | null = null;
  let isWriting = false;
  let isFailing = false;
  let isClosed = false;
  let lastWriteAt = -Infinity;

  function wait(origins: readonly StreamOrigin[]): void {
    waiting = [...waiting, ...origins];
    const excess = waiting.length - MAXIMUM_WAITING;
    if (excess <= 0) return;
    waiting = waiting.slice(excess);
    metrics.count('streamRecords', 'unkept');
  }

  async function write(): Promise<void> {
    isWriting = true;
    lastWriteAt = now();
    const batch = waiting.splice(0, MAXIMUM_BATCH);
    const written = await source.writeStreams(batch, getLifetime());
    isWriting = false;
    metrics.count('streamRecords', written.isOk() ? 'kept' : 'unkept');
    if (written.isErr()) {
      // A write without an answer may have had its effect; twice is the same.
      waiting = [...batch, ...waiting];
      if (!isFailing) {
        const {step, message} = written.error;
        log.infoAlways('streams not kept', {step, reason: message});
      }
    }
    isFailing = written.isErr();
    scheduleWrite();
  }

  function scheduleWrite(): void {
    if (timer !== null || isWriting || isClosed || waiting.length === 0) return;
    const interval = Math.max(
      isFailing ? RETRY_MILLISECONDS : WRITE_INTERVAL_MILLISECONDS,
      SHARED_INTERVAL_MILLISECONDS * getInstanceCount(),
    );
    const dueAt = lastWriteAt + interval;
    timer = setTimeout(
      () => {
        timer = null;
        // Timers of Node.js may fire up to 2 ms before their time.
        if (now() < dueAt) scheduleWrite();
        else void write();
      },
      Math.max(0, Math.ceil(dueAt - now())),
    );
  }

  return {
    add(origins) {
      wait(origins);
      scheduleWrite();
    },
    earlierOrigins: readAtStart({
      read: () => source.readStreams(),
      log,
      getLifetime,
      now,
      isClosed: () => isClosed,
    }).then((origins) => origins ?? []),
    close() {
      isClosed = true;
      if (timer !== null) clearTimeout(timer);
    },
  };
}
