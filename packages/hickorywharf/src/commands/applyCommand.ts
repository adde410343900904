import {loadDeclarations} from 'hickorywharf-configuration/loadDeclarations';
import {planChanges} from 'hickorywharf-configuration/planChanges';
import {ok} from 'neverthrow';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';
import {changeOptions} from '../operators/changeOptions.ts';
import {runChange} from '../operators/runChange.ts';

/** `hickorywharf apply DIRECTORY`: applies the declarations in a directory. */
export const applyCommand: Command = {
  summary: 'brings the declarations of a directory in force',
  positionals: ['DIRECTORY'],
  options: {
    ...changeOptions.options,
    prune: {type: 'boolean', default: false},
  },
  optionHelp: {
    ...changeOptions.optionHelp,
    prune: 'delete records that are in force and not declared',
  },
  async run({values, positionals}) {
    const declared = loadDeclarations(positionals[0]!);
    if (declared.isErr()) {
      const {file, path, message} = declared.error;
      console.error(`hickorywharf: ${file}: ${path}: ${message}`);
      return exitCodes.failed;
    }
    const prune = values['prune'] === true;
    return runChange({
      values,
      plan: (log) =>
        ok(planChanges(declared.value, log.getSnapshot().documents, {prune})),
    });
  },
};
