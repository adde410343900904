import {spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';

/** A process that a demo or an experiment started. */
interface StartedProcess {
  readonly identifier: number;
  signal(name: NodeJS.Signals): void;
  /** Resolves with the exit code, or null after a kill. */
  readonly exited: Promise<number | null>;
}

interface StartProcessOptions {
  readonly program: string;
  readonly words: readonly string[];
  /** File that standard output and error are appended to. */
  readonly logFile: string;
}

/**
 * Starts a program. Only the demo, experiments and tests do this; no process
 * of the system starts another.
 *
 * @example
 *     startProcess({program, words: ['--version'], logFile}).exited;
 */
export function startProcess(options: StartProcessOptions): StartedProcess {
  const log = openSync(options.logFile, 'a');
  const child = spawn(options.program, options.words, {
    stdio: ['ignore', log, log],
  });
  closeSync(log);
  const {promise, resolve} = Promise.withResolvers<number | null>();
  child.on('exit', resolve);
  child.on('error', () => resolve(null));
  return {
    identifier: child.pid ?? 0,
    signal: (name) => void child.kill(name),
    exited: promise,
  };
}
