import type {metricDefinitions} from './metricDefinitions.ts';

type Definitions = typeof metricDefinitions;
type Name = keyof Definitions;
type Tags<Metric extends Name> = Readonly<
  Record<Definitions[Metric]['tags'][number], string>
>;

/** Sends the metrics of one process without waiting for their delivery. */
export interface Metrics {
  /**
   * Adds the value to a counter, sets a gauge to it or records it as a
   * duration in milliseconds, depending on the metric's kind.
   */
  send<Metric extends Name>(
    name: Metric,
    value: number,
    tags: Tags<Metric>,
  ): void;
  /** Sends buffered metrics and closes the socket. */
  close(): void;
}
