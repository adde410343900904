interface ResourceBounds {
  /** Bytes of requests, responses and frames that may be held together. */
  readonly heldBytes: number;
  /** Connections of callers that may be open together. */
  readonly callerConnections: number;
  /** Connections of other instances that may be open together. */
  readonly peerConnections: number;
}

/** Resident memory of an idle instance, with its code and configuration. */
const IDLE_BYTES = 110_000_000;
/** Freed memory that waits for the garbage collector. */
const UNCOLLECTED_BYTES = 30_000_000;
/** An instance with less memory holds this much all the same. */
const MINIMUM_HELD_BYTES = 16_777_216;
/** Without a stated memory: the one that the smallest instances have. */
const DEFAULT_HELD_BYTES = 33_554_432;
const DEFAULT_MEMORY_BYTES = 210_000_000;
/** A sixth of the memory is for connections, each with a head of a request. */
const CONNECTION_MEMORY_RATIO = 1 / 6;
const CONNECTION_BYTES = 32_768;

const DEFAULT_DESCRIPTORS = 4096;
/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200;
/** Shares of the others; what is left is for endpoints and the store. */
const CALLER_DESCRIPTOR_RATIO = 0.6;
const PEER_DESCRIPTOR_RATIO = 0.1;
/** A small instance has this many connections of each kind all the same. */
const MINIMUM_CONNECTIONS = 64;

/**
 * Divides the memory and descriptors of an instance, so that no crowd of
 * callers, endpoints or peers takes what the others need. It answers crowds of
 * callers that nobody controls.
 *
 * @param machine what the settings state; left out where they state nothing
 * @example
 *     getResourceBounds({memoryBytes: 210e6}).heldBytes; // 35_000_000
 */
export function getResourceBounds(machine: {
  readonly memoryBytes?: number;
  readonly maximumDescriptors?: number;
}): ResourceBounds {
  const {
    memoryBytes = DEFAULT_MEMORY_BYTES,
    maximumDescriptors = DEFAULT_DESCRIPTORS,
  } = machine;
  const connectionBytes = memoryBytes * CONNECTION_MEMORY_RATIO;
  const heldBytes =
    machine.memoryBytes === undefined
      ? DEFAULT_HELD_BYTES
      : memoryBytes - connectionBytes - IDLE_BYTES - UNCOLLECTED_BYTES;
  const sockets = maximumDescriptors - FILE_DESCRIPTORS;
  const limit = (ratio: number): number =>
    Math.max(MINIMUM_CONNECTIONS, Math.floor(sockets * ratio));
  return {
    heldBytes: Math.floor(Math.max(MINIMUM_HELD_BYTES, heldBytes)),
    callerConnections: Math.min(
      limit(CALLER_DESCRIPTOR_RATIO),
      Math.floor(connectionBytes / CONNECTION_BYTES),
    ),
    peerConnections: limit(PEER_DESCRIPTOR_RATIO),
  };
}
