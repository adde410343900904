import type {EntryCommand} from 'hickorywharf-decisions/entry/entryCommand';
import {digest} from 'hickorywharf-utils/digest';
import type {createCoreFixture} from './createCoreFixture.ts';

type Core = ReturnType<typeof createCoreFixture>['core'];

function findAttempt(commands: readonly EntryCommand[]) {
  for (const command of commands) {
    if (command.tag === 'send' && command.frame.tag === 'attempt') {
      return {endpoint: command.endpoint, frame: command.frame};
    }
  }
  return null;
}

/**
 * Processes one request in an entry's core from its arrival to its response;
 * every attempt gets its result immediately.
 *
 * @param now monotonic milliseconds
 * @returns whether the request was answered
 * @example
 *     serveRequest(core, 'r-1', 10);
 */
export function serveRequest(
  core: Core,
  requestId: string,
  now: number,
): boolean {
  let commands = core.handle(
    {
      tag: 'requestArrived',
      requestId,
      pipelineName: 'pipeline-0',
      keyHash: digest('key-0'),
      input: {text: 'text'},
      idempotencyKey: null,
      bodyDigest: null,
      deadlineMilliseconds: null,
      traceparent: null,
    },
    now,
  );
  for (;;) {
    const attempt = findAttempt(commands);
    if (attempt === null) break;
    const {stageIndex, attemptId} = attempt.frame;
    commands = core.handle(
      {
        tag: 'frameArrived',
        endpoint: attempt.endpoint,
        frame: {
          tag: 'result',
          requestId,
          stageIndex,
          attemptId,
          output: {kind: 'encode', vector: [1]},
          queuedMilliseconds: 0,
          backendMilliseconds: 1,
        },
      },
      now,
    );
  }
  return commands.some(({tag}) => tag === 'answer');
}
