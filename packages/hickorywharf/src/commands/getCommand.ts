import {loadConfiguration} from 'hickorywharf-configuration/loadConfiguration';
import {getNearestName} from 'hickorywharf-utils/getNearestName';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';
import {changeOptions} from '../operators/changeOptions.ts';
import {readChangeInput} from '../operators/readChangeInput.ts';

/** `hickorywharf get [RECORD]`: prints records from the store. */
export const getCommand: Command = {
  summary: 'prints the records in the store, as declarations',
  positionals: ['[RECORD]'],
  options: {store: changeOptions.options['store']!},
  optionHelp: {store: changeOptions.optionHelp['store']!},
  async run({values, positionals}) {
    const input = await readChangeInput(values);
    if (input.isErr()) {
      console.error(`hickorywharf: ${input.error}`);
      return exitCodes.usage;
    }
    const loaded = await loadConfiguration(input.value.store);
    if (loaded.isErr()) {
      console.error(`hickorywharf: the store: ${loaded.error.message}`);
      return exitCodes.failed;
    }
    const {documents} = loaded.value.log.getSnapshot();
    const byKey = new Map(
      documents.map(({kind, name, document}) => [`${kind}/${name}`, document]),
    );
    const [wanted] = positionals;
    if (wanted === undefined) {
      console.log(JSON.stringify([...byKey.values()], null, 2));
      return exitCodes.succeeded;
    }
    const document = byKey.get(wanted);
    if (document === undefined) {
      const nearest = getNearestName(wanted, byKey.keys());
      const hint = nearest === null ? '' : `; did you mean '${nearest}'?`;
      console.error(`hickorywharf: no record '${wanted}'${hint}`);
      return exitCodes.failed;
    }
    console.log(JSON.stringify(document, null, 2));
    return exitCodes.succeeded;
  },
};
