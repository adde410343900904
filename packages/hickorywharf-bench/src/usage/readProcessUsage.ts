import {readFileSync} from 'node:fs';
import type {ProcessUsage} from './processUsage.ts';

const CLOCK_TICKS_PER_SECOND = 100;
const BYTES_PER_KIBIBYTE = 1024;
/** Fields of `stat` after the command's name: user and system time. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

function readNumber(text: string, label: string): number {
  const match = new RegExp(`^${label}:\\s*(\\d+)`, 'm').exec(text);
  return Number(match?.[1] ?? 0);
}

/**
 * Reads what a process uses from the kernel's process files (Linux).
 *
 * @param identifier the process's number
 * @example
 *     readProcessUsage(process.pid).residentBytes;
 */
export function readProcessUsage(identifier: number): ProcessUsage {
  const directory = `/proc/${identifier}`;
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
