import test from 'ava';
import {createResultsTable} from '../createResultsTable.ts';
import {drawReport} from '../drawReport.ts';

const FIGURE = {
  name: 'share <of> answers',
  value: 0.5,
  unit: 'share',
  target: {atLeast: 0.9},
} as const;
const REPORT = {
  experiment: 'steady',
  seeds: [1, 2],
  runs: [1, 2].map((seed) => ({
    policy: 'chosen',
    seed,
    figures: [FIGURE],
    series: {
      attainment: [
        [0, 1],
        [1, 0.5],
      ] as const,
    },
  })),
};

test('a page marks missed targets and is self-contained', (t) => {
  const page = drawReport(REPORT);
  t.true(page.includes('<td class="missed">0.500</td>'));
  t.true(page.includes('share &lt;of&gt; answers'));
  t.false(/src=|href=/.test(page));
});

test('a target that one seed misses counts as missed', (t) => {
  const [firstRun] = REPORT.runs;
  const passingRun = {...firstRun!, figures: [{...FIGURE, value: 0.95}]};
  const table = createResultsTable([
    {...REPORT, runs: [passingRun, REPORT.runs[1]!]},
  ]);
  t.true(table.includes('**missed**'));
});
