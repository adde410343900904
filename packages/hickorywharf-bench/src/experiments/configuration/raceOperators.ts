import {randomUUID} from 'node:crypto';
import {changeConfiguration} from 'hickorywharf-configuration/changeConfiguration';
import {createStoreClient} from 'hickorywharf-platform/createStoreClient';
import {ok} from 'neverthrow';

interface RaceResult {
  readonly accepted: number;
  readonly refused: number;
  readonly other: number;
}

/**
 * Sends concurrent changes of the same record, one for each operator, and
 * counts their outcomes.
 *
 * @example
 *     await raceOperators(storeUrl, 4);
 */
export async function raceOperators(
  storeUrl: string,
  operators: number,
): Promise<RaceResult> {
  const name = 'raced-route';
  const outcomes = await Promise.all(
    Array.from({length: operators}, (_, operator) =>
      changeConfiguration({
        store: createStoreClient(storeUrl),
        createOperation: randomUUID,
        plan: () =>
          ok([
            {
              kind: 'route',
              name,
              document: {
                kind: 'route',
                schemaVersion: 2,
                name,
                pipeline: 'catalogue-question',
                half: null,
                operator,
              },
            },
          ]),
        base: null,
        activeSequence: 0,
      }),
    ),
  );
  const count = (tag: string) =>
    outcomes.filter((outcome) => outcome.tag === tag).length;
  const accepted = count('accepted');
  const refused = count('refused');
  return {accepted, refused, other: operators - accepted - refused};
}
