import {mkdtempSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {experiments} from 'hickorywharf-bench/experiments/experiments';
import {getNearestName} from 'hickorywharf-utils/getNearestName';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';

async function listExperiments(): Promise<number> {
  for (const [name, load] of Object.entries(experiments)) {
    console.log(`${name.padEnd(18)} ${(await load()).summary}`);
  }
  return exitCodes.succeeded;
}

function reportUsage(message: string): number {
  console.error(`hickorywharf: ${message}`);
  return exitCodes.usage;
}

function readSeeds(seed: string, count: string): number[] {
  return Array.from(
    {length: Number(count)},
    (_, index) => Number(seed) + index,
  );
}

/** `hickorywharf experiment NAME`: runs an experiment and writes its report. */
export const experimentCommand: Command = {
  summary: 'runs an experiment on loopback and writes its report',
  positionals: ['[NAME]'],
  options: {
    list: {type: 'boolean', default: false},
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    output: {type: 'string'},
    load: {type: 'string'},
  },
  optionHelp: {
    list: 'names the experiments',
    seed: 'first seed (default 1)',
    seeds: 'number of seeds (default 1)',
    output: 'JSON file for the report; standard output without it',
    load: 'JSON file with the load, for experiments that read one',
  },
  async run({values, positionals}) {
    if (values['list'] === true) return listExperiments();
    const name = positionals[0] ?? '';
    if (!Object.hasOwn(experiments, name)) {
      const nearest = getNearestName(name, Object.keys(experiments));
      const hint = nearest === null ? '' : `; did you mean '${nearest}'?`;
      return reportUsage(`no experiment '${name}'${hint}`);
    }
    const seeds = readSeeds(String(values['seed']), String(values['seeds']));
    const isUsable = seeds.length > 0 && seeds.every(Number.isSafeInteger);
    if (!isUsable) return reportUsage('--seed and --seeds take whole numbers');
    const experiment = await experiments[name]!();
    const report = await experiment.run({
      seeds,
      load: (values['load'] as string | undefined) ?? null,
      program: process.execPath,
      directory: mkdtempSync(path.join(os.tmpdir(), `hickorywharf-${name}-`)),
      print: (line) => console.error(line),
    });
    const text = `${JSON.stringify(report, null, 2)}\n`;
    const output = values['output'] as string | undefined;
    if (output === undefined) console.log(text);
    else writeFileSync(output, text);
    return exitCodes.succeeded;
  },
};
