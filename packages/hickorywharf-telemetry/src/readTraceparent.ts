/** The fields of a W3C trace context. */
interface TraceContext {
  readonly traceId: string;
  readonly spanId: string;
  readonly flags: number;
}

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;
const NO_TRACE = '0'.repeat(32);
const NO_SPAN = '0'.repeat(16);

/**
 * Parses the W3C `traceparent` header of a request, of version 00; returns null
 * where it is absent or malformed.
 *
 * @example
 *     readTraceparent('reel 7'); // null
 */
export function readTraceparent(header: string | null): TraceContext | null {
  const [, traceId, spanId, flags] = TRACEPARENT.exec(header ?? '') ?? [];
  if (traceId === undefined || spanId === undefined) return null;
  if (traceId === NO_TRACE || spanId === NO_SPAN) return null;
  return {traceId, spanId, flags: Number.parseInt(flags!, 16)};
}
