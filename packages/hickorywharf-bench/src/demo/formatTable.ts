import {getPercentile} from '../getPercentile.ts';
import type {runTraffic} from './runTraffic.ts';

type Row = Awaited<ReturnType<typeof runTraffic>>[number];

const COLUMNS = [
  'pipeline',
  'sent',
  'answered',
  'not run',
  'unknown',
  'conn. lost',
  'p50 ms',
  'p99 ms',
] as const;
const NAME_WIDTH = 20;
const NUMBER_WIDTH = 11;

function formatLine(cells: readonly string[]): string {
  const [name = '', ...numbers] = cells;
  const padded = numbers.map((cell) => cell.padStart(NUMBER_WIDTH));
  return name.padEnd(NAME_WIDTH) + padded.join('');
}

/**
 * Formats the outcomes and latencies of callers as a plain-text table.
 *
 * @example
 *     console.log(formatTable(rows));
 */
export function formatTable(rows: readonly Row[]): string {
  const lines = rows.map((row) =>
    formatLine([
      row.pipeline,
      String(row.sent),
      String(row.answered),
      String(row.notRun),
      String(row.unknown),
      String(row.connectionLost),
      getPercentile(row.milliseconds, 0.5).toFixed(0),
      getPercentile(row.milliseconds, 0.99).toFixed(0),
    ]),
  );
  return [formatLine(COLUMNS), ...lines].join('\n');
}
