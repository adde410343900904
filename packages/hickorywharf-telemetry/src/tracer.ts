import type {spanDefinitions} from './spanDefinitions.ts';

type Definitions = typeof spanDefinitions;
type Name = keyof Definitions;

/** One hop of a request, from its start to its end. */
interface Span {
  /** W3C trace context for the next hop, or null where there is none. */
  readonly traceparent: string | null;
  /** Ends the span; with an error, where the hop failed. */
  end(error?: string | null): void;
}

/** Makes the spans of one process, and never waits for their delivery. */
export interface Tracer {
  start<SpanName extends Name>(
    name: SpanName,
    /** Trace context of the hop before, as it came. */
    traceparent: string | null,
    attributes: Readonly<
      Record<Definitions[SpanName]['attributes'][number], string>
    >,
  ): Span;
  /** Sends what is left, as far as that goes within a second. */
  close(): Promise<void>;
}
