import {createMetrics} from 'hickorywharf-telemetry/createMetrics';
import {createTracer} from 'hickorywharf-telemetry/createTracer';
import type {Metrics} from 'hickorywharf-telemetry/metrics';
import type {Tracer} from 'hickorywharf-telemetry/tracer';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';

interface TelemetrySettings {
  readonly process: Pick<ProcessIdentity, 'name' | 'failureDomain'>;
  readonly metrics: {readonly address: string; readonly port: number};
  readonly traces: {readonly url: string};
}

interface Telemetry {
  readonly metrics: Metrics;
  readonly tracer: Tracer;
  /** Sends what is still buffered; waits for about a second at most. */
  close(): Promise<void>;
}

/**
 * Creates the metrics client and the tracer of a role from its settings.
 *
 * @example
 *     const {metrics, tracer} = await startTelemetry(settings, 'entry');
 */
export async function startTelemetry(
  settings: TelemetrySettings,
  role: ProcessIdentity['role'],
): Promise<Telemetry> {
  const identity = {...settings.process, role};
  const metrics = createMetrics({...settings.metrics, identity});
  const tracer = await createTracer({url: settings.traces.url, identity});
  return {
    metrics,
    tracer,
    async close() {
      metrics.close();
      await tracer.close();
    },
  };
}
