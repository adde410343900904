/**
 * Published versions are kept for this many times the longest time of a stream
 * and renewed once in that time, so that those of an instance outlast each
 * stream that it has begun.
 */
export const VERSION_KEEP_FACTOR = 2;
