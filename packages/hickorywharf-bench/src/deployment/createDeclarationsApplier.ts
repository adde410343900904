import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import {createDocuments} from './createDocuments.ts';
import type {DeploymentPlan} from './deploymentPlan.ts';
import type {startProcess} from './startProcess.ts';

interface DeclarationsApplierOptions {
  readonly plan: DeploymentPlan;
  readonly directory: string;
  readonly storeUrl: string;
  readonly history: HistoryRecorder;
  readonly startProgram: (
    name: string,
    commandArguments: readonly string[],
  ) => ReturnType<typeof startProcess>;
}

/** Line that `apply` prints when its change was accepted. */
const ACCEPTED_LINE = /accepted .*sequence (\d+)/;

/**
 * Creates a function that applies a deployment's declarations with the
 * program's own `apply` command, given the names of the endpoints to drain. It
 * records in the history which change was accepted and which endpoints it
 * drains or returns to service.
 *
 * @returns a function that resolves with the exit code of `apply`, or null
 *   after a kill
 * @example
 *     const apply = createDeclarationsApplier(options);
 *     const exitCode = await apply(new Set(['engine-1']));
 */
export function createDeclarationsApplier(
  options: DeclarationsApplierOptions,
): (draining: ReadonlySet<string>) => Promise<number | null> {
  const {plan, directory, storeUrl, history, startProgram} = options;
  let operationCount = 0;
  let drained: ReadonlySet<string> = new Set();
  let newestSequence = 0;

  function recordAccepted(
    operation: string,
    sequence: number,
    draining: ReadonlySet<string>,
  ): void {
    history.record({tag: 'configurationAccepted', sequence, operation});
    // Concurrent commands may exit in another order than their log entries.
    if (sequence < newestSequence) return;
    newestSequence = sequence;
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
    operationCount += 1;
    const operation = `apply-${operationCount}`;
    const declarations = path.join(directory, operation);
    mkdirSync(declarations, {recursive: true});
    writeFileSync(
      path.join(declarations, 'all.json'),
      JSON.stringify(createDocuments(plan, draining)),
    );
    const commandArguments = ['apply', declarations, '--store', storeUrl];
    const exitCode = await startProgram(operation, commandArguments).exited;
    const output = readFileSync(path.join(directory, `${operation}.log`));
    const sequence = ACCEPTED_LINE.exec(String(output))?.[1];
    if (sequence !== undefined) {
      recordAccepted(operation, Number(sequence), draining);
    }
    return exitCode;
  };
}
