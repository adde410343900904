import type {ExperimentReport} from '../experiments/experimentReport.ts';
import {getPercentile} from '../getPercentile.ts';

type Figure = ExperimentReport['runs'][number]['figures'][number];

interface Row {
  readonly experiment: string;
  readonly figure: Figure;
  /** Values of all seeds by policy; the first policy is the chosen one. */
  readonly values: ReadonlyMap<string, readonly number[]>;
}

const DIGITS = 3;

function isMet(value: number, target: NonNullable<Figure['target']>): boolean {
  return 'atMost' in target ? value <= target.atMost : value >= target.atLeast;
}

function getRows(report: ExperimentReport): Row[] {
  const [first] = report.runs;
  const targeted = first?.figures.filter(({target}) => target !== null) ?? [];
  return targeted.map((figure) => {
    const values = new Map<string, number[]>();
    for (const {policy, figures} of report.runs) {
      const found = figures.find(({name}) => name === figure.name);
      if (found === undefined) continue;
      values.set(policy, [...(values.get(policy) ?? []), found.value]);
    }
    return {experiment: report.experiment, figure, values};
  });
}

function formatValues(values: readonly number[]): string {
  const median = getPercentile(values, 0.5).toFixed(DIGITS);
  if (values.length === 1) return median;
  const minimum = Math.min(...values).toFixed(DIGITS);
  const maximum = Math.max(...values).toFixed(DIGITS);
  return `${median} (${minimum} to ${maximum})`;
}

function formatTarget(target: NonNullable<Figure['target']>): string {
  return 'atMost' in target
    ? `at most ${target.atMost}`
    : `at least ${target.atLeast}`;
}

function formatRow({experiment, figure, values}: Row): string {
  const [chosen, ...baselines] = [...values];
  const target = figure.target!;
  const [, chosenValues = []] = chosen ?? [];
  const isAlwaysMet = chosenValues.every((value) => isMet(value, target));
  const cells = [
    experiment,
    `${figure.name} (${figure.unit})`,
    formatTarget(target),
    formatValues(chosenValues),
    isAlwaysMet ? 'met' : '**missed**',
    baselines
      .map(([policy, list]) => `${policy} ${formatValues(list)}`)
      .join('; '),
  ];
  return `| ${cells.join(' | ')} |`;
}

/**
 * Creates a Markdown table with a row for each figure that has a target: the
 * median and range over the seeds for the chosen policy and for the baselines.
 * A target counts as met only if the chosen policy met it with every seed.
 *
 * @example
 *     createResultsTable(reports);
 */
export function createResultsTable(
  reports: readonly ExperimentReport[],
): string {
  const lines = [
    '| Experiment | Figure | Target | Chosen | | Baselines |',
    '| --- | --- | --- | --- | --- | --- |',
    ...reports.flatMap(getRows).map(formatRow),
  ];
  return `${lines.join('\n')}\n`;
}
