import type {EndpointEvent} from 'hickorywharf-decisions/endpoint/endpointEvent';
import type {Metrics} from 'hickorywharf-telemetry/metrics';
import type {Tracer} from 'hickorywharf-telemetry/tracer';
import type {Frame} from 'hickorywharf-types/frame';
import type {LoadReport} from 'hickorywharf-types/loadReport';
import type {Clock} from 'hickorywharf-utils/clock';

type Span = ReturnType<Tracer['start']>;
type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;

interface EndpointTelemetryOptions {
  readonly metrics: Metrics;
  readonly tracer: Tracer;
  readonly clock: Clock;
}

/** Receives the progress of an endpoint process's attempts. */
interface EndpointTelemetry {
  /** Records that an attempt entered the queue. */
  accepted(attempt: AttemptFrame): void;
  /**
   * Records the start of a backend call; returns the attempt with the span of
   * the call as its trace context.
   */
  backendStarted(attempt: AttemptFrame): AttemptFrame;
  /** Records the end of a backend call; other events are ignored. */
  backendEvent(event: EndpointEvent): void;
  /** Counts a frame to an entry if it ends an attempt; others are ignored. */
  frameSent(frame: Frame): void;
  loadReported(load: LoadReport): void;
  /** Records the sequence of the active configuration. */
  configurationInForce(sequence: number): void;
}

/** An attempt that is queued or runs on the backend. */
interface OpenAttempt {
  readonly span: Span;
  /** When it was queued or its call started, in monotonic milliseconds. */
  readonly startedAt: number;
  readonly kind: string;
}

/**
 * Creates metrics and spans for the attempts of an endpoint process. Durations
 * are in milliseconds.
 *
 * @example
 *     const telemetry = createEndpointTelemetry({metrics, tracer, clock});
 *     telemetry.backendStarted(attempt).traceparent; // that of a new span
 */
export function createEndpointTelemetry(
  options: EndpointTelemetryOptions,
): EndpointTelemetry {
  const {metrics, tracer, clock} = options;
  const waiting = new Map<string, OpenAttempt>();
  const running = new Map<string, OpenAttempt>();

  /** Ends the span of an attempt; `error` is null for a success. */
  function close(
    attempts: Map<string, OpenAttempt>,
    attemptId: string,
    error: string | null,
  ): OpenAttempt | undefined {
    const attempt = attempts.get(attemptId);
    attempts.delete(attemptId);
    attempt?.span.end(error);
    return attempt;
  }

  return {
    configurationInForce: (sequence) =>
      metrics.send('configuration.sequence', sequence, {}),
    accepted({requestId: request, attemptId: attempt, kind, traceparent}) {
      const attributes = {request, attempt};
      const span = tracer.start('endpoint.queue', traceparent, attributes);
      waiting.set(attempt, {span, startedAt: clock.monotonic(), kind});
    },
    backendStarted(attempt) {
      const {requestId, attemptId, kind, traceparent} = attempt;
      const queued = close(waiting, attemptId, null);
      const now = clock.monotonic();
      const waited = now - (queued?.startedAt ?? now);
      metrics.send('endpoint.queue_duration', waited, {kind});
      const span = tracer.start('endpoint.backend', traceparent, {
        request: requestId,
        attempt: attemptId,
        stage: kind,
      });
      running.set(attemptId, {span, startedAt: now, kind});
      return {...attempt, traceparent: span.traceparent};
    },
    backendEvent(event) {
      const isFinished = event.tag === 'backendFinished';
      if (!isFinished && event.tag !== 'backendFailed') return;
      const outcome = isFinished ? 'answered' : event.outcome;
      const error = isFinished ? null : outcome;
      const ended = close(running, event.attemptId, error);
      if (ended === undefined) return;
      const {kind, startedAt} = ended;
      const took = clock.monotonic() - startedAt;
      metrics.send('endpoint.backend_duration', took, {kind, outcome});
    },
    frameSent(frame) {
      if (
        frame.tag !== 'result' &&
        frame.tag !== 'refused' &&
        frame.tag !== 'failed'
      ) {
        return;
      }
      close(waiting, frame.attemptId, frame.tag);
      const reason = frame.tag === 'refused' ? frame.reason : 'none';
      metrics.send('endpoint.attempts', 1, {ending: frame.tag, reason});
    },
    loadReported({queued, running: runningCount}) {
      metrics.send('endpoint.queued', queued, {});
      metrics.send('endpoint.running', runningCount, {});
    },
  };
}
