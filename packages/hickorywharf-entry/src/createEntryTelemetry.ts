import type {EntryEvent} from 'hickorywharf-decisions/entry/entryEvent';
import type {Metrics} from 'hickorywharf-telemetry/metrics';
import type {Tracer} from 'hickorywharf-telemetry/tracer';
import type {Frame} from 'hickorywharf-types/frame';
import type {Outcome} from 'hickorywharf-types/outcome';
import type {Clock} from 'hickorywharf-utils/clock';

type Span = ReturnType<Tracer['start']>;
type Arrival = Extract<EntryEvent, {tag: 'requestArrived'}>;

interface EntryTelemetryOptions {
  readonly metrics: Metrics;
  readonly tracer: Tracer;
  readonly clock: Clock;
}

/** The metrics and spans of an entry's requests. */
interface EntryTelemetry {
  /** Records a request; returns the arrival with its span's trace context. */
  arrived(arrival: Arrival): Arrival;
  /** Records an attempt; returns the frame with its span's trace context. */
  sending(endpoint: string, frame: Frame): Frame;
  frameArrived(frame: Frame): void;
  tokensDelivered(requestId: string): void;
  /** @param reason tag of the error, or 'none' */
  finished(requestId: string, outcome: Outcome, reason: string): void;
  configurationInForce(sequence: number): void;
}

interface OpenRequest {
  readonly span: Span;
  readonly arrivedAt: number;
  hasToken: boolean;
  readonly attempts: Map<string, Span>;
}

const FINAL_FRAMES: ReadonlySet<Frame['tag']> = new Set([
  'result',
  'refused',
  'failed',
]);

/**
 * Records metrics and spans of an entry's requests.
 *
 * @example
 *     createEntryTelemetry({metrics, tracer, clock}).arrived(arrival);
 */
export function createEntryTelemetry(
  options: EntryTelemetryOptions,
): EntryTelemetry {
  const {metrics, tracer, clock} = options;
  const open = new Map<string, OpenRequest>();
  const getElapsed = (request: OpenRequest) =>
    clock.monotonic() - request.arrivedAt;

  return {
    configurationInForce: (sequence) =>
      metrics.send('configuration.sequence', sequence, {}),
    arrived(arrival) {
      const {requestId, pipelineName, traceparent} = arrival;
      const span = tracer.start('entry.request', traceparent, {
        request: requestId,
        pipeline: pipelineName,
      });
      open.set(requestId, {
        span,
        arrivedAt: clock.monotonic(),
        hasToken: false,
        attempts: new Map(),
      });
      metrics.send('entry.requests_in_flight', open.size, {});
      return {...arrival, traceparent: span.traceparent};
    },
    sending(endpoint, frame) {
      if (frame.tag !== 'attempt') return frame;
      const {requestId, attemptId, pool, kind, traceparent} = frame;
      metrics.send('entry.attempts', 1, {pool, kind});
      const span = tracer.start('entry.attempt', traceparent, {
        request: requestId,
        attempt: attemptId,
        stage: kind,
        peer: endpoint,
      });
      open.get(requestId)?.attempts.set(attemptId, span);
      return {...frame, traceparent: span.traceparent};
    },
    frameArrived(frame) {
      if (!FINAL_FRAMES.has(frame.tag) || !('attemptId' in frame)) return;
      const request = open.get(frame.requestId);
      const span = request?.attempts.get(frame.attemptId);
      request?.attempts.delete(frame.attemptId);
      span?.end(frame.tag === 'result' ? null : frame.tag);
    },
    tokensDelivered(requestId) {
      const request = open.get(requestId);
      if (request === undefined || request.hasToken) return;
      request.hasToken = true;
      metrics.send('entry.first_token_duration', getElapsed(request), {});
    },
    finished(requestId, outcome, reason) {
      const request = open.get(requestId);
      if (request === undefined) return;
      open.delete(requestId);
      for (const span of request.attempts.values()) span.end('superseded');
      request.span.end(outcome === 'answered' ? null : reason);
      metrics.send('entry.requests', 1, {outcome, reason});
      metrics.send('entry.request_duration', getElapsed(request), {outcome});
      metrics.send('entry.requests_in_flight', open.size, {});
    },
  };
}
