import {readFileSync, writeFileSync} from 'node:fs';
import type {ExperimentReport} from 'hickorywharf-bench/experiments/experimentReport';
import {drawReport} from 'hickorywharf-bench/report/drawReport';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';

/** `hickorywharf report FILE.json`: draws an experiment's report as HTML. */
export const reportCommand: Command = {
  summary: "draws an experiment's report as one HTML page",
  positionals: ['FILE'],
  options: {output: {type: 'string'}},
  optionHelp: {output: 'HTML file; standard output without it'},
  async run({values, positionals}) {
    let report: ExperimentReport;
    try {
      const text = readFileSync(positionals[0]!, 'utf8');
      report = JSON.parse(text) as ExperimentReport;
    } catch (error) {
      console.error(`hickorywharf: ${(error as Error).message}`);
      return exitCodes.failed;
    }
    if (!Array.isArray(report.runs)) {
      console.error(`hickorywharf: ${positionals[0]} is not a report`);
      return exitCodes.failed;
    }
    const page = drawReport(report);
    const output = values['output'] as string | undefined;
    if (output === undefined) console.log(page);
    else writeFileSync(output, page);
    return exitCodes.succeeded;
  },
};
