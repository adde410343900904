import type {metricDefinitions} from './metricDefinitions.ts';

type Definitions = typeof metricDefinitions;
type Name = keyof Definitions;
type Tags<Metric extends Name> = Readonly<
  Record<Definitions[Metric]['tags'][number], string>
>;

/** Sends the measures of one process, and never waits for their delivery. */
export interface Metrics {
  /** Adds to a counter, sets a gauge or notes a time, as the metric's kind is. */
  send<Metric extends Name>(
    name: Metric,
    value: number,
    tags: Tags<Metric>,
  ): void;
  close(): void;
}
