import {randomUUID} from 'node:crypto';
import {changeConfiguration} from 'hickorywharf-configuration/changeConfiguration';
import {createStoreClient} from 'hickorywharf-platform/createStoreClient';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {sleep} from 'hickorywharf-utils/sleep';
import {ok} from 'neverthrow';

type Changes = ConfigurationEntry['changes'];

interface AppliedStep {
  readonly sequence: number;
  readonly wallMilliseconds: number;
  /** Tries that ended otherwise than accepted, by how they ended. */
  readonly failures: Readonly<Record<string, number>>;
}

const MAXIMUM_TRIES = 60;
const PAUSE_MILLISECONDS = 300;

/**
 * Makes a change as an operator does who tries again until it is accepted.
 *
 * @example
 *     await applyStep(storeUrl, changes);
 */
export async function applyStep(
  storeUrl: string,
  changes: Changes,
): Promise<AppliedStep> {
  const store = createStoreClient(storeUrl);
  const failures: Record<string, number> = {};
  for (let tries = 0; tries < MAXIMUM_TRIES; tries += 1) {
    const outcome = await changeConfiguration({
      store,
      createOperation: randomUUID,
      plan: () => ok(changes),
      base: null,
      activeSequence: 0,
    });
    if (outcome.tag === 'accepted') {
      const {sequence} = outcome;
      return {sequence, wallMilliseconds: Date.now(), failures};
    }
    failures[outcome.tag] = (failures[outcome.tag] ?? 0) + 1;
    await sleep(PAUSE_MILLISECONDS);
  }
  throw new Error(`not accepted: ${JSON.stringify(failures)}`);
}
