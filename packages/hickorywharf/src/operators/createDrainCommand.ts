import {getNearestName} from 'hickorywharf-utils/getNearestName';
import {normalizeRecord} from 'hickorywharf-validation/normalizeRecord';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {StoredDocument} from 'hickorywharf-types/storedDocument';
import {err, ok, type Result} from 'neverthrow';
import type {Command} from '../command.ts';
import {changeOptions} from './changeOptions.ts';
import {runChange} from './runChange.ts';

type Changes = ConfigurationEntry['changes'];

function planDraining(
  documents: readonly StoredDocument[],
  name: string,
  draining: boolean,
): Result<Changes, string> {
  const endpoints = documents.filter(({kind}) => kind === 'endpoint');
  const stored = endpoints.find((candidate) => candidate.name === name);
  if (stored === undefined) {
    const nearest = getNearestName(
      name,
      endpoints.map((endpoint) => endpoint.name),
    );
    const hint = nearest === null ? '' : `; did you mean '${nearest}'?`;
    return err(`no endpoint is named '${name}'${hint}`);
  }
  const {document} = stored;
  const record = normalizeRecord(document);
  if (record.isErr()) return err(`endpoint/${name}: ${record.error.message}`);
  const isSame = (document['draining'] ?? false) === draining;
  return ok(
    isSame ? [] : [{kind: 'endpoint', name, document: {...document, draining}}],
  );
}

/**
 * Creates the command that sets or clears `draining` in one endpoint's record.
 * The other fields of the record are kept, including those that this version
 * does not know.
 *
 * @example
 *     createDrainCommand(true).summary;
 */
export function createDrainCommand(draining: boolean): Command {
  return {
    summary: draining
      ? 'gives an endpoint no new work'
      : 'lets an endpoint take work again',
    positionals: ['ENDPOINT'],
    ...changeOptions,
    run: ({values, positionals}) =>
      runChange({
        values,
        plan: (log) =>
          planDraining(log.getSnapshot().documents, positionals[0]!, draining),
      }),
  };
}
