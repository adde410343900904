import {parseArgs} from 'node:util';
import {getNearestName} from 'hickorywharf-utils/getNearestName';
import type {Command} from './command.ts';
import {commands} from './commands/commands.ts';
import {exitCodes} from './exitCodes.ts';

const VERSION = '0.1.0';
const HELP_OPTION = {help: {type: 'boolean', short: 'h'}} as const;

async function printOverview(): Promise<void> {
  const lines = ['Usage: hickorywharf COMMAND [OPTIONS]', '', 'Commands:'];
  for (const [name, load] of Object.entries(commands)) {
    const {summary} = await load();
    lines.push(`  ${name.padEnd(16)} ${summary}`);
  }
  lines.push('', "'hickorywharf COMMAND --help' explains a command.");
  console.log(lines.join('\n'));
}

function printHelp(name: string, command: Command): void {
  const positionals = command.positionals.map((word) => ` ${word}`).join('');
  const lines = [
    `Usage: hickorywharf ${name}${positionals} [OPTIONS]`,
    '',
    command.summary,
    '',
    'Options:',
  ];
  for (const [option, help] of Object.entries(command.optionHelp)) {
    lines.push(`  --${option.padEnd(14)} ${help}`);
  }
  lines.push(`  --${'help'.padEnd(14)} explains this command`);
  console.log(lines.join('\n'));
}

function reportUsage(message: string): number {
  console.error(`hickorywharf: ${message}`);
  return exitCodes.usage;
}

function describeOptionError(error: Error, command: Command): string {
  const flag = /'(--?[^'\s]+)/.exec(error.message)?.[1]?.replace(/^-+/, '');
  const known = [...Object.keys(command.options), 'help'];
  const nearest = flag === undefined ? null : getNearestName(flag, known);
  const isKnown = flag !== undefined && known.includes(flag);
  if (nearest === null || isKnown) return error.message;
  return `unknown option '--${flag}'; did you mean '--${nearest}'?`;
}

async function runCommand(
  name: string,
  command: Command,
  words: string[],
): Promise<number> {
  let parsed;
  try {
    parsed = parseArgs({
      args: words,
      options: {...command.options, ...HELP_OPTION},
      allowPositionals: true,
    });
  } catch (error) {
    return reportUsage(describeOptionError(error as Error, command));
  }
  const {values, positionals} = parsed;
  if (values.help === true) {
    printHelp(name, command);
    return exitCodes.succeeded;
  }
  const required = command.positionals.filter((word) => !word.startsWith('['));
  const hasTooFew = positionals.length < required.length;
  if (hasTooFew || positionals.length > command.positionals.length) {
    const expected = command.positionals.join(' ') || 'no argument';
    return reportUsage(`${name} takes ${expected}`);
  }
  return command.run({values, positionals});
}

/**
 * Runs the program with the arguments of its command line.
 *
 * @returns the exit code
 * @example
 *     await runProgram(['--version']); // 0
 */
export async function runProgram(words: string[]): Promise<number> {
  const [name = '--help', ...rest] = words;
  if (name === '--version') {
    console.log(VERSION);
    return exitCodes.succeeded;
  }
  if (name === '--help' || name === '-h' || name === 'help') {
    await printOverview();
    return exitCodes.succeeded;
  }
  if (!Object.hasOwn(commands, name)) {
    const nearest = getNearestName(name, Object.keys(commands));
    const hint = nearest === null ? '' : `; did you mean '${nearest}'?`;
    return reportUsage(`unknown command '${name}'${hint}`);
  }
  const command = await commands[name]!();
  return runCommand(name, command, rest);
}
