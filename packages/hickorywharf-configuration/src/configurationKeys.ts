const SLOTS = 1024;
const SLOTS_PER_SEGMENT = 64;
/** Width of the zero-padded numbers in keys. */
const DIGITS = 4;

function pad(number: number): string {
  return String(number).padStart(DIGITS, '0');
}

function getSegment(sequence: number): number {
  return Math.floor((sequence % SLOTS) / SLOTS_PER_SEGMENT);
}

/**
 * Keys of the configuration in the platform's store. The log is a ring buffer
 * of slots: an entry overwrites, by compare-and-swap, one that a snapshot
 * includes. This bounds the number of keys, and an operator's command with an
 * outdated view cannot recreate an entry that was compacted away.
 */
export const configurationKeys = {
  /** Number of entries that the log can hold. */
  slots: SLOTS,
  /** Number of slots that one listing of the store reads. */
  slotsPerSegment: SLOTS_PER_SEGMENT,
  logPrefix: 'configuration/log/',
  /** The key of the slot that an entry is written to. */
  getLogKey: (sequence: number): string =>
    `configuration/log/${pad(getSegment(sequence))}/${pad(sequence % SLOTS)}`,
  /** The prefix of the segment that contains an entry's slot. */
  getSegmentPrefix: (sequence: number): string =>
    `configuration/log/${pad(getSegment(sequence))}/`,
  snapshotHead: 'configuration/snapshot',
  chunkPrefix: 'configuration/chunks/',
  getChunkKey: (operation: string, index: number): string =>
    `configuration/chunks/${operation}/${pad(index)}`,
} as const;
