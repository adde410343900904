import {spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';

/** A child process of the demo, an experiment or a test. */
interface StartedProcess {
  /** Process id; 0 if the program could not be started. */
  readonly processId: number;
  signal(name: NodeJS.Signals): void;
  /** Resolves with the exit code; null after a kill or a failed start. */
  readonly exited: Promise<number | null>;
}

interface StartProcessOptions {
  readonly program: string;
  /** Arguments of the program. */
  readonly words: readonly string[];
  /** File that standard output and error are appended to. */
  readonly logFile: string;
}

/**
 * Starts a program as a child process. Only the demo, experiments and tests do
 * this; no process of the system starts another.
 *
 * @throws if the log file cannot be opened
 * @example
 *     await startProcess({program, words: ['--version'], logFile}).exited;
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
    processId: child.pid ?? 0,
    signal: (name) => void child.kill(name),
    exited: promise,
  };
}
