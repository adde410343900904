import type {ExperimentReport} from '../experiments/experimentReport.ts';
import {drawChart} from './drawChart.ts';
import {escapeText} from './escapeText.ts';

type Run = ExperimentReport['runs'][number];
type Figure = Run['figures'][number];

const STYLE = `body{font:14px sans-serif;margin:2em;max-width:70em}
table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}.missed{color:#b00020;font-weight:bold}`;
const DIGITS = 3;

function isMissed({value, target}: Figure): boolean {
  if (target === null) return false;
  return 'atMost' in target ? value > target.atMost : value < target.atLeast;
}

function formatTarget({target}: Figure): string {
  if (target === null) return '';
  return 'atMost' in target
    ? `at most ${target.atMost}`
    : `at least ${target.atLeast}`;
}

function drawCell(figure: Figure | undefined): string {
  if (figure === undefined) return '<td></td>';
  const attribute = isMissed(figure) ? ' class="missed"' : '';
  return `<td${attribute}>${figure.value.toFixed(DIGITS)}</td>`;
}

function drawTable(runs: readonly Run[]): string {
  const head = runs.map(
    ({policy, seed}) => `<th>${escapeText(policy)} ${seed}</th>`,
  );
  const figures = new Map(
    runs.flatMap((run) => run.figures.map((figure) => [figure.name, figure])),
  );
  const rows = [...figures.values()].map((figure) => {
    const cells = runs.map((run) =>
      drawCell(run.figures.find(({name}) => name === figure.name)),
    );
    const name = escapeText(`${figure.name} (${figure.unit})`);
    return `<tr><td>${name}</td><td>${formatTarget(figure)}</td>${cells.join('')}</tr>`;
  });
  return `<table><tr><th>figure</th><th>target</th>${head.join('')}</tr>${rows.join('\n')}</table>`;
}

/**
 * Draws an experiment's report as one self-contained HTML page: a chart of each
 * series over time, and the figures of each run with their targets.
 *
 * @example
 *     writeFileSync('report.html', drawReport(report));
 */
export function drawReport(report: ExperimentReport): string {
  const title = escapeText(`Experiment ${report.experiment}`);
  const names = new Set(report.runs.flatMap(({series}) => Object.keys(series)));
  const charts = [...names].map((name) =>
    drawChart(
      name,
      report.runs.map(({policy, seed, series}) => ({
        label: `${policy} ${seed}`,
        points: series[name] ?? [],
      })),
    ),
  );
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${title}</title>
<style>${STYLE}</style></head><body><h1>${title}</h1>
${charts.join('\n')}
${drawTable(report.runs)}
</body></html>
`;
}
