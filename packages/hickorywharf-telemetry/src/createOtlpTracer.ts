import {
  ROOT_CONTEXT,
  SpanStatusCode,
  trace,
  type Context,
} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BatchSpanProcessor,
  NodeTracerProvider,
} from '@opentelemetry/sdk-trace-node';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import {readTraceparent} from './readTraceparent.ts';
import type {Tracer} from './tracer.ts';

/** Spans that may wait for their export; further ones are dropped. */
const MAXIMUM_QUEUED_SPANS = 2048;
const EXPORT_INTERVAL_MILLISECONDS = 1000;
const EXPORT_TIMEOUT_MILLISECONDS = 2000;
const CLOSE_TIMEOUT_MILLISECONDS = 1000;

function readParent(traceparent: string | null): Context {
  const parent = readTraceparent(traceparent);
  if (parent === null) return ROOT_CONTEXT;
  const {traceId, spanId, flags} = parent;
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId,
    spanId,
    traceFlags: flags,
    isRemote: true,
  });
}

/**
 * Creates a tracer that sends its spans in batches by OTLP over HTTP. Spans
 * that the collector does not accept are dropped without blocking the process.
 *
 * @param url address of the collector for traces
 * @example
 *     createOtlpTracer('http://127.0.0.1:4318/v1/traces', identity);
 */
export function createOtlpTracer(
  url: string,
  identity: Pick<ProcessIdentity, 'name' | 'role' | 'failureDomain'>,
): Tracer {
  const exporter = new OTLPTraceExporter({
    url,
    timeoutMillis: EXPORT_TIMEOUT_MILLISECONDS,
  });
  const processor = new BatchSpanProcessor(exporter, {
    maxQueueSize: MAXIMUM_QUEUED_SPANS,
    scheduledDelayMillis: EXPORT_INTERVAL_MILLISECONDS,
    exportTimeoutMillis: EXPORT_TIMEOUT_MILLISECONDS,
  });
  const provider = new NodeTracerProvider({
    resource: resourceFromAttributes({
      'service.name': `hickorywharf-${identity.role}`,
      'service.instance.id': identity.name,
      'hickorywharf.failure_domain': identity.failureDomain,
    }),
    spanProcessors: [processor],
  });
  const tracer = provider.getTracer('hickorywharf');
  return {
    start(name, traceparent, attributes) {
      const parent = readParent(traceparent);
      const span = tracer.startSpan(name, {attributes}, parent);
      const {traceId, spanId, traceFlags} = span.spanContext();
      const flags = traceFlags.toString(16).padStart(2, '0');
      return {
        traceparent: `00-${traceId}-${spanId}-${flags}`,
        end(error = null) {
          if (error !== null) {
            span.setStatus({code: SpanStatusCode.ERROR, message: error});
          }
          span.end();
        },
      };
    },
    async close() {
      const {promise, resolve} = Promise.withResolvers<void>();
      const timer = setTimeout(resolve, CLOSE_TIMEOUT_MILLISECONDS);
      const closed = provider.shutdown().catch(() => undefined);
      await Promise.race([closed, promise]);
      clearTimeout(timer);
    },
  };
}
