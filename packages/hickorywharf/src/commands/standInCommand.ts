import {startStandIns} from 'hickorywharf-standins/startStandIns';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';

/** `hickorywharf stand-in FILE`: runs stand-ins, for tests only. */
export const standInCommand: Command = {
  summary: 'runs stand-ins of the platform and of backends, for tests only',
  positionals: ['FILE'],
  options: {},
  optionHelp: {},
  async run({positionals}) {
    await startStandIns(positionals[0]!);
    const {promise, resolve} = Promise.withResolvers<void>();
    process.on('SIGTERM', () => resolve());
    process.on('SIGINT', () => resolve());
    await promise;
    process.exit(exitCodes.succeeded);
  },
};
