import type {runCampaign} from './runCampaign.ts';

type Run = Awaited<ReturnType<typeof runCampaign>>;

function formatRow(run: Run): string {
  const faults = run.plan.faults.map(({name, target}) => `${name} (${target})`);
  const broken = [...new Set(run.breaches.map(({promise}) => promise))];
  const cells = [
    run.seed,
    faults.join(', '),
    run.plan.arrangement,
    run.sent,
    run.answered,
    run.notRun,
    run.unknown,
    run.connectionLost,
    broken.length === 0 ? 'none' : broken.join('; '),
  ];
  return `| ${cells.join(' | ')} |`;
}

/**
 * Formats the runs of a campaign as a Markdown table, one row a run.
 *
 * @example
 *     formatCampaign(runs);
 */
export function formatCampaign(runs: readonly Run[]): string {
  const header =
    '| Seed | Faults | Arrangement | Calls | Answered | Not run | Unknown | Connection lost | Broken promises |';
  const ruler = '| --- | --- | --- | --- | --- | --- | --- | --- | --- |';
  return [header, ruler, ...runs.map(formatRow), ''].join('\n');
}
