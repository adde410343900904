import type {GATEWAY_COUNTERS} from './gatewayCounters.ts';
import type {GATEWAY_TIMERS} from './gatewayTimers.ts';

/** Counters and times of an instance. */
export interface GatewayMetrics {
  /** Counts one event; labels come from fixed sets only. */
  count(name: keyof typeof GATEWAY_COUNTERS, label: string): void;
  /** Notes a time in milliseconds. */
  time(name: keyof typeof GATEWAY_TIMERS, milliseconds: number): void;
  /** All of it, in the text format that collectors read. */
  format(): string;
}
