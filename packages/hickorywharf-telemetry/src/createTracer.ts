import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import {readTraceparent} from './readTraceparent.ts';
import type {Tracer} from './tracer.ts';

interface TracerOptions {
  /** Where spans go by OTLP over HTTP; empty to make none. */
  readonly url: string;
  readonly identity: Pick<ProcessIdentity, 'name' | 'role' | 'failureDomain'>;
}

/** Hands the caller's trace context on and makes no span of its own. */
const PASSING_TRACER: Tracer = {
  start: (_name, traceparent) => ({
    // What is not well formed must not reach a backend's headers.
    traceparent: readTraceparent(traceparent) === null ? null : traceparent,
    end: () => undefined,
  }),
  close: () => Promise.resolve(),
};

/**
 * A tracer. The libraries are loaded only where spans are wanted, so that a
 * process without traces does not hold them in memory.
 *
 * @example
 *     const tracer = await createTracer({url: '', identity});
 */
export async function createTracer(options: TracerOptions): Promise<Tracer> {
  if (options.url === '') return PASSING_TRACER;
  const {createOtlpTracer} = await import('./createOtlpTracer.ts');
  return createOtlpTracer(options.url, options.identity);
}
