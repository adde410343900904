import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import {readTraceparent} from './readTraceparent.ts';
import type {Tracer} from './tracer.ts';

interface TracerOptions {
  /** URL that spans are sent to by OTLP over HTTP; empty to create none. */
  readonly url: string;
  readonly identity: Pick<ProcessIdentity, 'name' | 'role' | 'failureDomain'>;
}

/** Propagates the caller's trace context and creates no spans. */
const PROPAGATING_TRACER: Tracer = {
  start: (_name, traceparent) => ({
    // A malformed context must not get into the headers of backend calls.
    traceparent: readTraceparent(traceparent) === null ? null : traceparent,
    end: () => undefined,
  }),
  close: () => Promise.resolve(),
};

/**
 * Creates a tracer. The tracing libraries are loaded only where spans are sent,
 * so that a process without traces does not hold them in memory.
 *
 * @example
 *     const tracer = await createTracer({url: '', identity});
 */
export async function createTracer(options: TracerOptions): Promise<Tracer> {
  if (options.url === '') return PROPAGATING_TRACER;
  const {createOtlpTracer} = await import('./createOtlpTracer.ts');
  return createOtlpTracer(options.url, options.identity);
}
