import {createInterface} from 'node:readline';
import {request, type Dispatcher} from 'undici';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {Outcome} from 'hickorywharf-types/outcome';
import {digest} from 'hickorywharf-utils/digest';
import {createExpectedAnswer} from './createExpectedAnswer.ts';
import {toSortedJson} from './toSortedJson.ts';

/** A request to a pipeline, as a caller sends it. */
interface Call {
  readonly callId: string;
  readonly entryUrl: string;
  readonly accountKey: string;
  readonly pipeline: Extract<ConfigurationRecord, {kind: 'pipeline'}>;
  readonly text: string;
  readonly parameters: Readonly<Record<string, unknown>>;
  readonly maximumTokens: number;
  readonly isStream: boolean;
  readonly idempotencyKey: string | null;
  /** Called for each token when it is received. */
  readonly onToken?: () => void;
}

interface CallResult {
  readonly outcome: Outcome | 'connectionLost';
  readonly requestId: string | null;
  readonly detail: string;
  /** Whether the answer is complete and equals the expected one. */
  readonly isCorrect: boolean;
}

interface CallResponse extends Omit<CallResult, 'isCorrect'> {
  readonly answer: unknown;
}

type Problem = {
  requestId?: string;
  outcome?: Outcome;
  type?: string;
  detail?: string;
};

function fromProblem(problem: Problem): CallResponse {
  return {
    outcome: problem.outcome ?? 'unknown',
    requestId: problem.requestId ?? null,
    detail: `${problem.type}: ${problem.detail}`,
    answer: null,
  };
}

async function readStream(
  body: Dispatcher.ResponseData['body'],
  onToken: (position: number, token: string) => void,
): Promise<CallResponse> {
  let event = '';
  for await (const line of createInterface({input: body})) {
    if (line.startsWith('event: ')) event = line.slice('event: '.length);
    if (!line.startsWith('data: ')) continue;
    const data = JSON.parse(line.slice('data: '.length));
    if (event === 'tokens') {
      for (const [offset, token] of data.tokens.entries()) {
        onToken(data.position + offset, token);
      }
    }
    if (event === 'answer') {
      const {requestId, answer} = data;
      return {outcome: 'answered', requestId, answer, detail: ''};
    }
    if (event === 'problem') return fromProblem(data);
  }
  throw new Error('the stream ended early');
}

async function sendRequest(
  call: Call,
  dispatcher: Dispatcher,
  onToken: (position: number, token: string) => void,
): Promise<CallResponse> {
  const {text, parameters, maximumTokens, isStream} = call;
  const url = `${call.entryUrl}/v1/pipelines/${call.pipeline.name}/requests`;
  const response = await request(url, {
    method: 'POST',
    dispatcher,
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${call.accountKey}`,
      'call-id': call.callId,
      ...(isStream ? {accept: 'text/event-stream'} : {}),
      ...(call.idempotencyKey === null
        ? {}
        : {'idempotency-key': call.idempotencyKey}),
    },
    body: JSON.stringify({text, parameters, maximumTokens}),
  });
  const contentType = String(response.headers['content-type']);
  if (contentType.startsWith('text/event-stream')) {
    return readStream(response.body, onToken);
  }
  const json = (await response.body.json()) as Problem & {answer?: unknown};
  if (response.statusCode !== 200) return fromProblem(json);
  const {requestId = null, answer} = json;
  return {outcome: 'answered', requestId, answer, detail: ''};
}

/**
 * Sends one call and records in the history what the caller sent, each token
 * and the outcome that it received, and the expected content. Does not throw on
 * a connection error: the outcome is then `connectionLost`.
 *
 * @example
 *     const {outcome} = await sendCall(call, dispatcher, history);
 */
export async function sendCall(
  call: Call,
  dispatcher: Dispatcher,
  history: HistoryRecorder,
): Promise<CallResult> {
  const {callId, pipeline, idempotencyKey} = call;
  const expected = createExpectedAnswer(pipeline, call);
  const expectedDigest = digest(toSortedJson(expected));
  history.record({
    tag: 'requestSent',
    callId,
    pipeline: pipeline.name,
    idempotencyKey,
    deadlineMilliseconds: pipeline.deadlineMilliseconds,
    isStream: call.isStream,
    hasAction: pipeline.stages.some((stage) => !stage.idempotent),
    expectedDigest,
    expectedTokens: expected.tokens ?? [],
  });
  const onToken = (position: number, token: string) => {
    history.record({tag: 'tokenReceived', callId, position, token});
    call.onToken?.();
  };
  let response: CallResponse;
  try {
    response = await sendRequest(call, dispatcher, onToken);
  } catch (error) {
    const detail = (error as Error).message;
    response = {
      outcome: 'connectionLost',
      requestId: null,
      detail,
      answer: null,
    };
  }
  const {outcome, requestId, detail, answer} = response;
  const answerDigest =
    outcome === 'answered' ? digest(toSortedJson(answer)) : null;
  history.record({
    tag: 'outcomeReceived',
    callId,
    requestId,
    outcome,
    answerDigest,
    detail,
  });
  const isCorrect = answerDigest === expectedDigest;
  return {outcome, requestId, detail, isCorrect};
}
