import {randomUUID} from 'node:crypto';
import {closeSync, openSync, writeSync} from 'node:fs';
import type {Clock} from 'hickorywharf-utils/clock';
import type {HistoryRecorder} from './historyRecorder.ts';

interface HistoryRecorderOptions {
  /** Name of the process, stamped on each event. */
  readonly process: string;
  /** Path of the file to append to; empty to record nothing. */
  readonly file: string;
  readonly clock: Clock;
}

/**
 * Creates a recorder that appends events to a file, one JSON object a line.
 * Each event is written synchronously, so that none is lost when the process
 * is killed. Throws where the file cannot be opened or written.
 *
 * @example
 *     createHistoryRecorder({process: 'entry-1', file: '', clock});
 */
export function createHistoryRecorder(
  options: HistoryRecorderOptions,
): HistoryRecorder {
  const {file, clock} = options;
  if (file === '') return {record: () => undefined, close: () => undefined};
  const descriptor = openSync(file, 'a');
  const incarnation = randomUUID();
  return {
    record(event) {
      const stamped = {
        ...event,
        process: options.process,
        incarnation,
        monotonicMilliseconds: clock.monotonic(),
        wallMilliseconds: clock.wall(),
      };
      writeSync(descriptor, `${JSON.stringify(stamped)}\n`);
    },
    close: () => closeSync(descriptor),
  };
}
