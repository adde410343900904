/** What a process has used since it started, and holds now. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Bytes read and written by system calls, sockets included. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}
