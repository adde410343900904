import {sleep} from 'hickorywharf-utils/sleep';
import type {Result} from 'neverthrow';
import type {GatewayLog} from './gatewayLog.ts';

interface StartReadOptions<Value> {
  read(): Promise<Result<Value, {step: string; message: string}>>;
  readonly log: GatewayLog;
  /** Milliseconds after which what was to be read is of no use any more. */
  getLifetime(): number;
  /** Monotonic milliseconds. */
  now(): number;
  isClosed(): boolean;
}

const RETRY_MILLISECONDS = 500;

/**
 * Reads what earlier instances have left in the store, again until it answers.
 * The first failure is logged.
 *
 * @returns null if it could not be read in time; never rejects
 * @example
 *     const origins = await readAtStart({read: source.readStreams, ...options});
 */
export async function readAtStart<Value>(
  options: StartReadOptions<Value>,
): Promise<Value | null> {
  const {log, getLifetime, now, isClosed} = options;
  const startedAt = now();
  for (let failures = 0; !isClosed(); failures += 1) {
    const result = await options.read();
    if (result.isOk()) return result.value;
    if (failures === 0) {
      const {step, message} = result.error;
      log.infoAlways('not read at the start', {step, reason: message});
    }
    if (now() - startedAt > getLifetime()) break;
    await sleep(RETRY_MILLISECONDS);
  }
  return null;
}
