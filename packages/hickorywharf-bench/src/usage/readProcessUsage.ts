import {readFileSync} from 'node:fs';
import type {ProcessUsage} from './processUsage.ts';

/** Linux reports the times in `stat` in units of 1/100 s. */
const CLOCK_TICKS_PER_SECOND = 100;
const BYTES_PER_KIBIBYTE = 1024;
/** Indexes of user and system time in the fields after the command name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

function readNumber(text: string, label: string): number {
  const match = new RegExp(`^${label}:\\s*(\\d+)`, 'm').exec(text);
  return Number(match?.[1] ?? 0);
}

/**
 * Reads the resource usage of a process from `/proc` (Linux).
 *
 * @throws if the process has exited or its files may not be read
 * @example
 *     readProcessUsage(process.pid).residentBytes;
 */
export function readProcessUsage(processId: number): ProcessUsage {
  const directory = `/proc/${processId}`;
  const stat = readFileSync(`${directory}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  const io = readFileSync(`${directory}/io`, 'utf8');
  const status = readFileSync(`${directory}/status`, 'utf8');
  return {
    cpuSeconds: ticks / CLOCK_TICKS_PER_SECOND,
    residentBytes: readNumber(status, 'VmRSS') * BYTES_PER_KIBIBYTE,
    readBytes: readNumber(io, 'rchar'),
    writtenBytes: readNumber(io, 'wchar'),
  };
}
