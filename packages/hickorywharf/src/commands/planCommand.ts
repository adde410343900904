import {describeChanges} from 'hickorywharf-configuration/describeChanges';
import {checkChange} from 'hickorywharf-configuration/findings/checkChange';
import {findConflictingRecords} from 'hickorywharf-configuration/findConflictingRecords';
import {loadConfiguration} from 'hickorywharf-configuration/loadConfiguration';
import {loadDeclarations} from 'hickorywharf-configuration/loadDeclarations';
import {planChanges} from 'hickorywharf-configuration/planChanges';
import {previewChanges} from 'hickorywharf-configuration/previewChanges';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';
import {changeOptions} from '../operators/changeOptions.ts';
import {readChangeInput} from '../operators/readChangeInput.ts';

function reportFailure(message: string): number {
  console.error(`hickorywharf: ${message}`);
  return exitCodes.failed;
}

/** `hickorywharf plan DIRECTORY`: shows what `apply` would change. */
export const planCommand: Command = {
  summary: 'shows what apply would change; exit code 3 where it would',
  positionals: ['DIRECTORY'],
  options: {
    ...changeOptions.options,
    prune: {type: 'boolean', default: false},
  },
  optionHelp: {
    ...changeOptions.optionHelp,
    prune: 'count records that are in force and not declared as deletions',
  },
  async run({values, positionals}) {
    const input = await readChangeInput(values);
    if (input.isErr()) {
      console.error(`hickorywharf: ${input.error}`);
      return exitCodes.usage;
    }
    const declared = loadDeclarations(positionals[0]!);
    if (declared.isErr()) {
      const {file, path, message} = declared.error;
      return reportFailure(`${file}: ${path}: ${message}`);
    }
    const loaded = await loadConfiguration(input.value.store);
    if (loaded.isErr()) {
      return reportFailure(`the store: ${loaded.error.message}`);
    }
    const {log} = loaded.value;
    const {isJson, base, activeSequence} = input.value;
    if (log.sequence < activeSequence) {
      return reportFailure(
        `the store is at sequence ${log.sequence} but an instance has ${activeSequence} active: the store was restored from an older state; plan again once an entry has written back the active configuration`,
      );
    }
    const snapshot = log.getSnapshot();
    const prune = values['prune'] === true;
    const changes = planChanges(declared.value, snapshot.documents, {prune});
    const findings = checkChange(log, previewChanges(log, changes));
    const overlap = findConflictingRecords(
      snapshot,
      changes,
      base ?? log.sequence,
    );
    const {sequence} = log;
    if (isJson) {
      console.log(JSON.stringify({sequence, changes, findings, overlap}));
    } else {
      for (const line of describeChanges(changes, snapshot.documents)) {
        console.log(line);
      }
      for (const {severity, record, message} of findings) {
        console.log(`${severity}: ${record}: ${message}`);
      }
      for (const record of overlap) {
        console.log(`error: ${record}: changed after sequence ${base}`);
      }
      console.log(
        changes.length === 0
          ? `nothing to do at sequence ${sequence}`
          : `${changes.length} changes to sequence ${sequence}; apply them with: hickorywharf apply ${positionals[0]} --base ${sequence}`,
      );
    }
    return changes.length === 0 ? exitCodes.succeeded : exitCodes.changes;
  },
};
