import {fetchOperatorsState} from 'hickorywharf-operators/fetchOperatorsState';
import {createStoreClient} from 'hickorywharf-platform/createStoreClient';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import {err, ok, type Result} from 'neverthrow';

type Values = Readonly<Record<string, unknown>>;

interface ChangeInput {
  readonly store: StoreClient;
  /** Sequence after which no record to be changed may have changed, or null. */
  readonly base: number | null;
  readonly isJson: boolean;
  /** The highest active sequence of the instances given with `--operators`. */
  readonly activeSequence: number;
}

const OUTPUTS: readonly unknown[] = ['text', 'json'];

async function getActiveSequence(
  urls: readonly string[],
): Promise<Result<number, string>> {
  let newest = 0;
  for (const url of urls) {
    const state = await fetchOperatorsState(url);
    if (state.isErr()) {
      const {peer, message} = state.error;
      return err(`--operators: cannot fetch the state of ${peer}: ${message}`);
    }
    newest = Math.max(newest, state.value.configuration.sequence);
  }
  return ok(newest);
}

/**
 * Reads the options of `changeOptions`, and fetches the state of the instances
 * given with `--operators`. Fails with a message for the operator where an
 * option is invalid or an instance cannot be reached.
 *
 * @example
 *     await readChangeInput({store: 'http://127.0.0.1:7000', output: 'json'});
 */
export async function readChangeInput(
  values: Values,
): Promise<Result<ChangeInput, string>> {
  const url = values['store'];
  if (typeof url !== 'string' || !URL.canParse(url)) {
    return err("--store: give the store's address, http://IP:PORT");
  }
  const output = values['output'] ?? 'text';
  if (!OUTPUTS.includes(output)) {
    return err("--output: allowed are 'text' and 'json'");
  }
  const base = values['base'] === undefined ? null : Number(values['base']);
  if (base !== null && !(Number.isSafeInteger(base) && base >= 0)) {
    return err('--base: give a sequence, as `plan` prints it');
  }
  const urls = (values['operators'] as string[] | undefined) ?? [];
  const active = await getActiveSequence(urls);
  return active.map((activeSequence) => ({
    store: createStoreClient(url),
    base,
    isJson: output === 'json',
    activeSequence,
  }));
}
