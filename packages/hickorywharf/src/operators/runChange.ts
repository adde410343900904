import {randomUUID} from 'node:crypto';
import {changeConfiguration} from 'hickorywharf-configuration/changeConfiguration';
import type {ChangeOutcome} from 'hickorywharf-configuration/changeOutcome';
import {describeChanges} from 'hickorywharf-configuration/describeChanges';
import {checkChange} from 'hickorywharf-configuration/findings/checkChange';
import {previewChanges} from 'hickorywharf-configuration/previewChanges';
import type {Finding} from 'hickorywharf-configuration/findings/finding';
import {exitCodes} from '../exitCodes.ts';
import {readChangeInput} from './readChangeInput.ts';

type Plan = Parameters<typeof changeConfiguration>[0]['plan'];

interface RunChangeOptions {
  readonly values: Readonly<Record<string, unknown>>;
  readonly plan: Plan;
}

type OutcomeMessages = {
  [Tag in ChangeOutcome['tag']]: (
    outcome: Extract<ChangeOutcome, {tag: Tag}>,
  ) => string;
};

const OUTCOME_MESSAGES: OutcomeMessages = {
  accepted: ({changes, sequence}) =>
    `accepted ${changes.length} changes as sequence ${sequence}`,
  unchanged: ({sequence}) =>
    `nothing to do: sequence ${sequence} already has these changes`,
  refused: ({message}) => `refused, nothing was changed: ${message}`,
  unavailable: ({message}) =>
    `refused, nothing was changed: the store cannot be reached: ${message}`,
  unknown: ({operation, message}) =>
    `unknown: no response from the store (${message}); the change may still become active. Run the same command again: it prints "nothing to do" if the change was applied. Operation ${operation}`,
};

function formatMessage(outcome: ChangeOutcome): string {
  const formatOutcome = OUTCOME_MESSAGES[outcome.tag] as (
    outcome: ChangeOutcome,
  ) => string;
  return formatOutcome(outcome);
}

/**
 * Applies an operator's change to the configuration in the store, and prints
 * the difference, the findings and the outcome.
 *
 * @returns the exit code
 * @example
 *     await runChange({values, plan: () => ok(changes)});
 */
export async function runChange(options: RunChangeOptions): Promise<number> {
  const input = await readChangeInput(options.values);
  if (input.isErr()) {
    console.error(`hickorywharf: ${input.error}`);
    return exitCodes.usage;
  }
  const {isJson, ...change} = input.value;
  let warnings: readonly Finding[] = [];
  let difference: readonly string[] = [];
  const outcome = await changeConfiguration({
    ...change,
    createOperation: randomUUID,
    plan: (log) =>
      options.plan(log).map((changes) => {
        const after = previewChanges(log, changes);
        difference = describeChanges(changes, log.getSnapshot().documents);
        warnings = checkChange(log, after);
        return changes;
      }),
  });
  const isSuccess = outcome.tag === 'accepted' || outcome.tag === 'unchanged';
  if (isJson) {
    console.log(JSON.stringify({outcome, warnings}));
  } else {
    for (const line of difference) console.log(line);
    for (const {severity, record, message} of warnings) {
      console.log(`${severity}: ${record}: ${message}`);
    }
    const text = formatMessage(outcome);
    if (isSuccess) console.log(text);
    else console.error(`hickorywharf: ${text}`);
  }
  return isSuccess ? exitCodes.succeeded : exitCodes.failed;
}
