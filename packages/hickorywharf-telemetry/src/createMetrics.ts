import {StatsD} from 'hot-shots';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import {metricDefinitions} from './metricDefinitions.ts';
import type {Metrics} from './metrics.ts';

interface MetricsOptions {
  /** IP address that the metrics are sent to. */
  readonly address: string;
  /** UDP port; 0 to send nothing. */
  readonly port: number;
  readonly identity: Pick<ProcessIdentity, 'name' | 'role' | 'failureDomain'>;
}

const PREFIX = 'hickorywharf.';
/** Fits into an Ethernet frame, so that no datagram is fragmented. */
const MAXIMUM_DATAGRAM_BYTES = 1432;
const FLUSH_INTERVAL_MILLISECONDS = 1000;

/** The method of the StatsD client for each kind of metric. */
const SEND_METHODS = {
  counter: 'increment',
  timing: 'timing',
  gauge: 'gauge',
} as const;

/**
 * Creates a client that sends metrics in StatsD's format over UDP, several to a
 * datagram. Metrics that cannot be delivered are lost without an error and
 * without blocking the process.
 *
 * @example
 *     const address = '127.0.0.1';
 *     const metrics = createMetrics({address, port: 8125, identity});
 *     metrics.send('endpoint.queued', 3, {});
 */
export function createMetrics(options: MetricsOptions): Metrics {
  const {address, port, identity} = options;
  if (port === 0) return {send: () => undefined, close: () => undefined};
  const {name: process, role, failureDomain} = identity;
  const client = new StatsD({
    host: address,
    port,
    prefix: PREFIX,
    globalTags: {process, role, failureDomain},
    maxBufferSize: MAXIMUM_DATAGRAM_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MILLISECONDS,
    includeDatadogTelemetry: false,
    errorHandler: () => undefined,
  });
  return {
    send(name, value, tags) {
      const method = SEND_METHODS[metricDefinitions[name].kind];
      client[method](name, value, {...tags});
    },
    close: () => client.close(() => undefined),
  };
}
