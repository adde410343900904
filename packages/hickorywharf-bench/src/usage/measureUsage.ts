import {sleep} from 'hickorywharf-utils/sleep';
import {readProcessUsage} from './readProcessUsage.ts';

/** Mean use of a process over a span of time. */
interface UsageRate {
  /** Share of one core. */
  readonly cpuShare: number;
  readonly residentMegabytes: number;
  readonly kilobytesPerSecond: number;
}

const MILLISECONDS_PER_SECOND = 1000;
const BYTES_PER_MEGABYTE = 1_000_000;
const BYTES_PER_KILOBYTE = 1000;

/**
 * Measures what processes use while some time passes.
 *
 * @param identifiers process numbers by name
 * @returns the use of each process, by name
 * @example
 *     await measureUsage(new Map([['entry-1', 4711]]), 5000);
 */
export async function measureUsage(
  identifiers: ReadonlyMap<string, number>,
  milliseconds: number,
): Promise<Map<string, UsageRate>> {
  const readAll = () =>
    new Map(
      Array.from(identifiers, ([name, identifier]) => [
        name,
        readProcessUsage(identifier),
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
