import {err, ok, type Result} from 'neverthrow';
import type {EntryEvent} from 'hickorywharf-decisions/entry/entryEvent';
import type {ServeError} from 'hickorywharf-types/serveError';
import {readTraceparent} from 'hickorywharf-telemetry/readTraceparent';
import {digest} from 'hickorywharf-utils/digest';
import {isJsonTooDeep} from './isJsonTooDeep.ts';
import {requestBodySchema} from './requestBodySchema.ts';

type Arrival = Extract<EntryEvent, {tag: 'requestArrived'}>;

interface ReadRequestOptions {
  readonly requestId: string;
  readonly pipelineName: string;
  readonly headers: Headers;
  readonly text: string;
}

interface ReadRequest {
  readonly arrival: Arrival;
  readonly isStream: boolean;
}

const MAXIMUM_KEY_LENGTH = 255;
const MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000;
/** The frame codec renames this field, which would change the request. */
const UNSAFE_NAME = '__proto__';
const BEARER = /^Bearer ([!-~]{1,512})$/;

function toInvalid(field: string, message: string): ServeError {
  return {
    tag: 'invalidRequest',
    field,
    step: 'receive',
    peer: null,
    outcome: 'notRun',
    message,
  };
}

function readDeadline(headers: Headers): Result<number | null, ServeError> {
  const header = headers.get('request-deadline-milliseconds');
  if (header === null) return ok(null);
  const milliseconds = Number(header);
  const isAllowed =
    /^[0-9]+$/.test(header) &&
    milliseconds >= 1 &&
    milliseconds <= MAXIMUM_DEADLINE_MILLISECONDS;
  if (isAllowed) return ok(milliseconds);
  const message = `Send a whole number from 1 to ${MAXIMUM_DEADLINE_MILLISECONDS}.`;
  return err(toInvalid('Request-Deadline-Milliseconds', message));
}

function readKey(headers: Headers): Result<string | null, ServeError> {
  const key = headers.get('idempotency-key');
  if (key === null) return ok(null);
  if (key.length >= 1 && key.length <= MAXIMUM_KEY_LENGTH) return ok(key);
  const message = `Send 1 to ${MAXIMUM_KEY_LENGTH} characters.`;
  return err(toInvalid('Idempotency-Key', message));
}

/** Ignores a malformed trace context, as W3C Trace Context requires. */
function getTraceparent(headers: Headers): string | null {
  const traceparent = headers.get('traceparent');
  return readTraceparent(traceparent) === null ? null : traceparent;
}

function readBody(text: string) {
  if (isJsonTooDeep(text)) return err(toInvalid('body', 'Nested too deeply.'));
  let json: unknown;
  let isLossy = false;
  try {
    json = JSON.parse(text, (name, value: unknown) => {
      isLossy ||= name === UNSAFE_NAME;
      return value;
    });
  } catch {
    return err(toInvalid('body', 'The body is not JSON.'));
  }
  if (isLossy) {
    return err(toInvalid('body', `No field may be named '${UNSAFE_NAME}'.`));
  }
  const parsed = requestBodySchema.safeParse(json);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0]!;
  return err(toInvalid(issue.path.join('.') || 'body', issue.message));
}

function isStreamWanted(headers: Headers, stream?: boolean): boolean {
  const accepted = headers.get('accept') ?? '';
  return stream ?? accepted.includes('text/event-stream');
}

/**
 * Reads a caller's request. This is the only place that normalises and
 * validates its headers and body.
 *
 * @example
 *     readRequest({requestId, pipelineName: 'catalogue', headers, text});
 */
export function readRequest(
  options: ReadRequestOptions,
): Result<ReadRequest, ServeError> {
  const {requestId, pipelineName, headers, text} = options;
  const bearer = BEARER.exec(headers.get('authorization') ?? '');
  return readDeadline(headers).andThen((deadlineMilliseconds) =>
    readKey(headers).andThen((idempotencyKey) =>
      readBody(text).map((body) => ({
        isStream: isStreamWanted(headers, body.stream),
        arrival: {
          tag: 'requestArrived' as const,
          requestId,
          pipelineName,
          keyHash: bearer === null ? '' : digest(bearer[1]!),
          input: {
            text: body.text,
            action: {name: '', parameters: body.parameters ?? {}},
            ...(body.maximumTokens === undefined
              ? {}
              : {maximumTokens: body.maximumTokens}),
          },
          idempotencyKey,
          bodyDigest: idempotencyKey === null ? null : digest(text),
          deadlineMilliseconds,
          traceparent: getTraceparent(headers),
        },
      })),
    ),
  );
}
