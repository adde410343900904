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
  /** Number of attempts that were not accepted, by outcome. */
  readonly failures: Readonly<Record<string, number>>;
}

const MAXIMUM_ATTEMPTS = 60;
const BACKOFF_MILLISECONDS = 300;

/**
 * Changes the configuration and retries until the change is accepted.
 *
 * @returns its sequence and the wall time at which it was accepted
 * @throws Error after 60 attempts
 * @example
 *     await applyStep(storeUrl, changes);
 */
export async function applyStep(
  storeUrl: string,
  changes: Changes,
): Promise<AppliedStep> {
  const store = createStoreClient(storeUrl);
  const failures: Record<string, number> = {};
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
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
    await sleep(BACKOFF_MILLISECONDS);
  }
  throw new Error(`change not accepted: ${JSON.stringify(failures)}`);
}
