import {randomUUID} from 'node:crypto';
import {applyChanges} from 'hickorywharf-configuration/applyChanges';
import {loadConfiguration} from 'hickorywharf-configuration/loadConfiguration';
import {loadDeclarations} from 'hickorywharf-configuration/loadDeclarations';
import {planChanges} from 'hickorywharf-configuration/planChanges';
import {createStoreClient} from 'hickorywharf-platform/createStoreClient';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';

function reportFailure(message: string): number {
  console.error(`hickorywharf: ${message}`);
  return exitCodes.failed;
}

/** `hickorywharf apply DIRECTORY`: brings declarations in force. */
export const applyCommand: Command = {
  summary: 'brings the declarations of a directory in force',
  positionals: ['DIRECTORY'],
  options: {
    store: {type: 'string'},
    prune: {type: 'boolean', default: false},
  },
  optionHelp: {
    store: "address of the platform's store, http://IP:PORT",
    prune: 'delete records that are in force and not declared',
  },
  async run({values, positionals}) {
    const url = values['store'] as string | undefined;
    if (url === undefined) {
      console.error('hickorywharf: apply needs --store');
      return exitCodes.usage;
    }
    const declared = loadDeclarations(positionals[0]!);
    if (declared.isErr()) {
      const {file, path, message} = declared.error;
      return reportFailure(`${file}: ${path}: ${message}`);
    }
    const store = createStoreClient(url);
    const loaded = await loadConfiguration(store);
    if (loaded.isErr()) {
      return reportFailure(`nothing is accepted: ${loaded.error.message}`);
    }
    const log = loaded.value;
    const inForce = log.getSnapshot().documents;
    const changes = planChanges(declared.value, inForce, {
      prune: values['prune'] === true,
    });
    if (changes.length === 0) {
      console.log(`nothing to do; sequence ${log.sequence} is in force`);
      return exitCodes.succeeded;
    }
    const sequence = log.sequence + 1;
    const operation = randomUUID();
    const outcome = await applyChanges(store, {sequence, operation, changes});
    if (outcome.tag === 'accepted') {
      console.log(`accepted ${changes.length} changes as sequence ${sequence}`);
      return exitCodes.succeeded;
    }
    const detail =
      outcome.tag === 'refused'
        ? `operation ${outcome.winner.operation} came first and changed ${outcome.winner.changes.map(({kind, name}) => `${kind}/${name}`).join(', ')}`
        : outcome.message;
    return reportFailure(`${outcome.tag}: ${detail}`);
  },
};
