/** Resource usage of a process: totals since its start, and its memory now. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Bytes read and written by system calls, sockets included. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}
