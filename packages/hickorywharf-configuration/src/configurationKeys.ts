const SLOTS = 1024;
const SLOTS_PER_SEGMENT = 64;
const DIGITS = 4;

function pad(number: number): string {
  return String(number).padStart(DIGITS, '0');
}

function getSegment(sequence: number): number {
  return Math.floor((sequence % SLOTS) / SLOTS_PER_SEGMENT);
}

/**
 * Where the configuration lives in the platform's store. The log is a ring of
 * slots: an entry overwrites, by compare-and-swap, one that a snapshot holds.
 * So the log never grows, and an operator's command with an old view cannot
 * create an entry that was compacted away.
 */
export const configurationKeys = {
  slots: SLOTS,
  slotsPerSegment: SLOTS_PER_SEGMENT,
  logPrefix: 'configuration/log/',
  /** The key of the slot that an entry is written to. */
  getLogKey: (sequence: number): string =>
    `configuration/log/${pad(getSegment(sequence))}/${pad(sequence % SLOTS)}`,
  /** The prefix of the part of the ring that an entry's slot is in. */
  getSegmentPrefix: (sequence: number): string =>
    `configuration/log/${pad(getSegment(sequence))}/`,
  snapshotHead: 'configuration/snapshot',
  chunkPrefix: 'configuration/chunks/',
  getChunkKey: (operation: string, index: number): string =>
    `configuration/chunks/${operation}/${pad(index)}`,
} as const;
