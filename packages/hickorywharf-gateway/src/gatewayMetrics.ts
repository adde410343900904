import type {GATEWAY_COUNTERS} from './gatewayCounters.ts';
import type {GATEWAY_TIMERS} from './gatewayTimers.ts';

/** Counters and timers of an instance. */
export interface GatewayMetrics {
  /** Counts one event; labels must come from fixed sets. */
  count(name: keyof typeof GATEWAY_COUNTERS, label: string): void;
  /** Records a time in milliseconds. */
  time(name: keyof typeof GATEWAY_TIMERS, milliseconds: number): void;
  /** All metrics in the Prometheus text format. */
  format(): string;
}
