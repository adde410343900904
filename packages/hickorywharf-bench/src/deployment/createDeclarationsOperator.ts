import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import {createDocuments} from './createDocuments.ts';
import type {DeploymentPlan} from './deploymentPlan.ts';
import type {startProcess} from './startProcess.ts';

interface DeclarationsOperatorOptions {
  readonly plan: DeploymentPlan;
  readonly directory: string;
  readonly storeUrl: string;
  readonly history: HistoryRecorder;
  readonly startProgram: (
    name: string,
    words: readonly string[],
  ) => ReturnType<typeof startProcess>;
}

/** What `apply` prints of a change that it has seen accepted. */
const ACCEPTED = /accepted .*sequence (\d+)/;

/**
 * An operator who brings declarations in force with the program's own command.
 * What the command says was accepted, and which endpoints that drains, goes
 * into the history.
 *
 * @returns a function that gives the exit code of `apply`
 * @example
 *     await createDeclarationsOperator(options)(new Set(['engine-1']));
 */
export function createDeclarationsOperator(
  options: DeclarationsOperatorOptions,
): (draining: ReadonlySet<string>) => Promise<number | null> {
  const {plan, directory, storeUrl, history, startProgram} = options;
  let operations = 0;
  let drained: ReadonlySet<string> = new Set();
  let newest = 0;

  function recordAccepted(
    operation: string,
    sequence: number,
    draining: ReadonlySet<string>,
  ): void {
    history.record({tag: 'configurationAccepted', sequence, operation});
    // Commands that race may end in another order than the log has them.
    if (sequence < newest) return;
    newest = sequence;
    for (const endpoint of draining) {
      if (drained.has(endpoint)) continue;
      history.record({tag: 'endpointLeaving', endpoint, signal: 'record'});
    }
    for (const endpoint of drained) {
      if (draining.has(endpoint)) continue;
      history.record({tag: 'endpointReturned', endpoint});
    }
    drained = draining;
  }

  return async (draining) => {
    operations += 1;
    const operation = `apply-${operations}`;
    const declarations = path.join(directory, operation);
    mkdirSync(declarations, {recursive: true});
    writeFileSync(
      path.join(declarations, 'all.json'),
      JSON.stringify(createDocuments(plan, draining)),
    );
    const words = ['apply', declarations, '--store', storeUrl];
    const exitCode = await startProgram(operation, words).exited;
    const printed = readFileSync(path.join(directory, `${operation}.log`));
    const sequence = ACCEPTED.exec(String(printed))?.[1];
    if (sequence !== undefined) {
      recordAccepted(operation, Number(sequence), draining);
    }
    return exitCode;
  };
}
