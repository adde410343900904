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
import type {Tracer} from './tracer.ts';

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;
const NO_TRACE = '0'.repeat(32);
const NO_SPAN = '0'.repeat(16);
/** Spans that wait for the collector; more are dropped. */
const MAXIMUM_WAITING_SPANS = 2048;
const EXPORT_TIMEOUT_MILLISECONDS = 2000;
const CLOSE_MILLISECONDS = 1000;

function readParent(traceparent: string | null): Context {
  const [, traceId, spanId, flags] = TRACEPARENT.exec(traceparent ?? '') ?? [];
  if (traceId === undefined || spanId === undefined) return ROOT_CONTEXT;
  if (traceId === NO_TRACE || spanId === NO_SPAN) return ROOT_CONTEXT;
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId,
    spanId,
    traceFlags: Number.parseInt(flags!, 16),
    isRemote: true,
  });
}

/**
 * A tracer that sends its spans in batches by OTLP over HTTP. Spans that a
 * collector does not take are dropped, and slow nothing.
 *
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
    maxQueueSize: MAXIMUM_WAITING_SPANS,
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
      const timer = setTimeout(resolve, CLOSE_MILLISECONDS);
      const closed = provider.shutdown().catch(() => undefined);
      await Promise.race([closed, promise]);
      clearTimeout(timer);
    },
  };
}
