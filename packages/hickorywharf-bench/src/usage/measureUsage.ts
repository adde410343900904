import {sleep} from 'hickorywharf-utils/sleep';
import {readProcessUsage} from './readProcessUsage.ts';

/** Resource usage of a process over a period. */
interface UsageRate {
  /** Mean processor time, in cores. */
  readonly cpuShare: number;
  /** At the end of the period. */
  readonly residentMegabytes: number;
  /** Bytes read and written by system calls, sockets included. */
  readonly kilobytesPerSecond: number;
}

const MILLISECONDS_PER_SECOND = 1000;
const BYTES_PER_MEGABYTE = 1_000_000;
const BYTES_PER_KILOBYTE = 1000;

/**
 * Measures the resource usage of processes over a period (Linux).
 *
 * @param processIds process ids by name
 * @param milliseconds length of the period
 * @returns the usage of each process, by name
 * @throws if a process exits during the period
 * @example
 *     await measureUsage(new Map([['entry-1', 4711]]), 5000);
 */
export async function measureUsage(
  processIds: ReadonlyMap<string, number>,
  milliseconds: number,
): Promise<Map<string, UsageRate>> {
  const readAll = () =>
    new Map(
      Array.from(processIds, ([name, processId]) => [
        name,
        readProcessUsage(processId),
      ]),
    );
  const startedAt = performance.now();
  const before = readAll();
  await sleep(milliseconds);
  const after = readAll();
  const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
  const rates = new Map<string, UsageRate>();
  for (const [name, end] of after) {
    const start = before.get(name)!;
    const bytes =
      end.readBytes + end.writtenBytes - start.readBytes - start.writtenBytes;
    rates.set(name, {
      cpuShare: (end.cpuSeconds - start.cpuSeconds) / seconds,
      residentMegabytes: end.residentBytes / BYTES_PER_MEGABYTE,
      kilobytesPerSecond: bytes / BYTES_PER_KILOBYTE / seconds,
    });
  }
  return rates;
}
