import type {spanDefinitions} from './spanDefinitions.ts';

type Definitions = typeof spanDefinitions;
type Name = keyof Definitions;

/** One step of a request, from its start to its end. */
interface Span {
  /** W3C trace context for calls within the step; null where there is none. */
  readonly traceparent: string | null;
  /** Ends the span; with an error where the step failed. */
  end(error?: string | null): void;
}

/** Creates the spans of one process without waiting for their delivery. */
export interface Tracer {
  /** Starts a span as child of the span in the trace context, if any. */
  start<SpanName extends Name>(
    name: SpanName,
    /** Trace context of the caller or the parent span, possibly malformed. */
    traceparent: string | null,
    attributes: Readonly<
      Record<Definitions[SpanName]['attributes'][number], string>
    >,
  ): Span;
  /** Sends the remaining spans; resolves after one second at the latest. */
  close(): Promise<void>;
}
