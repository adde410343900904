import {build} from 'hdr-histogram-js/dist/HistogramBuilder.js';
import {GATEWAY_COUNTERS} from './gatewayCounters.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import {GATEWAY_TIMERS} from './gatewayTimers.ts';

const PREFIX = 'hickorywharf_gateway';
const QUANTILES = [50, 90, 99, 99.9];
/**
 * Longer times are recorded as this one, which exceeds the timeout of every
 * caller.
 */
const HIGHEST_MILLISECONDS = 60_000;
/**
 * Bounds the memory if a label takes unexpected values: events of further
 * series are not counted.
 */
const MAXIMUM_SERIES = 200;

function toSnakeCase(name: string): string {
  return name.replaceAll(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

/**
 * Collects the metrics of an instance in memory. Times are kept in histograms
 * with two significant digits, which bounds their memory.
 *
 * @example
 *     const metrics = createGatewayMetrics();
 *     metrics.count('calls', 'answered');
 *     metrics.format(); // '# HELP hickorywharf_gateway_calls_total ...'
 */
export function createGatewayMetrics(): GatewayMetrics {
  const counts = new Map<string, Map<string, number>>();
  const histograms = new Map<string, ReturnType<typeof build>>();
  let series = 0;

  return {
    count(name, label) {
      const labels = counts.get(name) ?? new Map<string, number>();
      counts.set(name, labels);
      if (!labels.has(label)) {
        if (series >= MAXIMUM_SERIES) return;
        series += 1;
      }
      labels.set(label, (labels.get(label) ?? 0) + 1);
    },
    time(name, milliseconds) {
      let histogram = histograms.get(name);
      if (histogram === undefined) {
        histogram = build({
          numberOfSignificantValueDigits: 2,
          highestTrackableValue: HIGHEST_MILLISECONDS,
          bitBucketSize: 32,
        });
        histograms.set(name, histogram);
      }
      const bounded = Math.min(Math.max(milliseconds, 0), HIGHEST_MILLISECONDS);
      histogram.recordValue(Math.round(bounded));
    },
    format() {
      const lines: string[] = [];
      for (const [name, {label, meaning}] of Object.entries(GATEWAY_COUNTERS)) {
        const metric = `${PREFIX}_${toSnakeCase(name)}_total`;
        lines.push(`# HELP ${metric} ${meaning}`, `# TYPE ${metric} counter`);
        for (const [value, count] of counts.get(name) ?? []) {
          lines.push(`${metric}{${label}="${value}"} ${count}`);
        }
      }
      for (const [name, {meaning}] of Object.entries(GATEWAY_TIMERS)) {
        const metric = `${PREFIX}_${toSnakeCase(name)}_milliseconds`;
        lines.push(`# HELP ${metric} ${meaning}`, `# TYPE ${metric} summary`);
        const histogram = histograms.get(name);
        if (histogram === undefined) continue;
        for (const quantile of QUANTILES) {
          const value = histogram.getValueAtPercentile(quantile);
          lines.push(`${metric}{quantile="${quantile / 100}"} ${value}`);
        }
        lines.push(`${metric}_count ${histogram.totalCount}`);
      }
      return `${lines.join('\n')}\n`;
    },
  };
}
