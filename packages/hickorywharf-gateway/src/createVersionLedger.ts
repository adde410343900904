import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import {VERSION_KEEP_FACTOR} from 'hickorywharf-decisions/gateway/versionKeepFactor';
import type {GatewaySource} from 'hickorywharf-types/gateway/gatewaySource';
import type {ServiceVersion} from 'hickorywharf-types/gateway/serviceVersion';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import {readAtStart} from './readAtStart.ts';

interface VersionLedgerOptions {
  readonly source: Pick<
    GatewaySource,
    'getGeneration' | 'readVersions' | 'writeVersions'
  >;
  readonly log: GatewayLog;
  readonly metrics: Pick<GatewayMetrics, 'count'>;
  /** How long a stream may be resumed after its begin, in milliseconds. */
  getLifetime(): number;
  getInstant(): Instant;
}

interface PublishedVersions {
  readonly versions: readonly ServiceVersion[];
  /** Before the read was sent. */
  readonly readAt: Instant;
}

interface VersionLedger {
  /**
   * Publishes the versions at which this instance may begin streams, if they
   * are not published already. To be called with each endpoint list.
   */
  publish(versions: readonly ServiceVersion[]): void;
  /**
   * What all instances had published when this one started; null if it could
   * not be read until no earlier stream can be resumed. Never rejects.
   */
  readonly earlierVersions: Promise<PublishedVersions | null>;
  /** Stops reading and writing. */
  close(): void;
}

/**
 * Keeps in the platform's store the software versions at which each instance
 * may begin streams, so that instances that start after the loss of all others
 * know whether there was only one.
 *
 * Designed for long times without a release: an instance writes when a version
 * comes or goes, and otherwise once within the longest time of a stream.
 *
 * @example
 *     const ledger = createVersionLedger(options);
 *     ledger.publish([{service: 'engines', version: 'v1'}]);
 */
export function createVersionLedger(
  options: VersionLedgerOptions,
): VersionLedger {
  const {source, log, metrics, getLifetime, getInstant} = options;
  let wanted: {versions: readonly ServiceVersion[]; text: string} = {
    versions: [],
    text: '',
  };
  let published: {text: string; generation: number; at: number} | null = null;
  let isWriting = false;
  let isFailing = false;
  let isClosed = false;

  function isPublished(): boolean {
    return (
      published !== null &&
      published.text === wanted.text &&
      published.generation === source.getGeneration() &&
      getInstant().monotonic - published.at < getLifetime()
    );
  }

  /** Writes what is wanted, which may change meanwhile. */
  async function write(): Promise<void> {
    isWriting = true;
    while (!isClosed && !isPublished()) {
      const {versions, text} = wanted;
      const generation = source.getGeneration();
      const at = getInstant().monotonic;
      const written = await source.writeVersions(
        versions,
        VERSION_KEEP_FACTOR * getLifetime(),
      );
      metrics.count('publishedVersions', written.isOk() ? 'kept' : 'unkept');
      if (written.isErr() && !isFailing) {
        const {step, message} = written.error;
        log.infoAlways('versions not kept', {step, reason: message});
      }
      isFailing = written.isErr();
      // Tried again with the next list.
      if (isFailing) break;
      published = {text, generation, at};
    }
    isWriting = false;
  }

  async function readEarlier(): Promise<PublishedVersions | null> {
    let readAt = getInstant();
    const versions = await readAtStart({
      read() {
        readAt = getInstant();
        return source.readVersions();
      },
      log,
      getLifetime,
      now: () => getInstant().monotonic,
      isClosed: () => isClosed,
    });
    return versions && {versions, readAt};
  }

  return {
    publish(versions) {
      wanted = {versions, text: JSON.stringify(versions)};
      if (!isWriting) void write();
    },
    earlierVersions: readEarlier(),
    close() {
      isClosed = true;
    },
  };
}
