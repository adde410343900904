import test from 'ava';
import {createStreamQuestions} from '../createStreamQuestions.ts';

const STREAM = {streamId: 'r1', service: 'engines'};
const ORIGIN = {...STREAM, version: 'v1'};

function createQuestions(timeoutMilliseconds = 1000) {
  const askIds: number[] = [];
  const questions = createStreamQuestions({
    timeoutMilliseconds,
    send(peer, exchange) {
      askIds.push(...(exchange.questions ?? []).map(({askId}) => askId));
      return peer !== 'lost';
    },
  });
  return {questions, askIds};
}

test('the first peer that knows a stream counts', async (t) => {
  const {questions, askIds} = createQuestions();
  const asked = questions.ask(['a', 'b', 'lost'], STREAM);
  questions.handleAnswers([{askId: askIds[0]!, origin: null}]);
  questions.handleAnswers([{askId: askIds[1]!, origin: ORIGIN}]);
  t.deepEqual(await asked, ORIGIN);
});

test('a stream that no peer knows in time is not known', async (t) => {
  const {questions} = createQuestions(20);
  t.is(await questions.ask(['lost'], STREAM), null);
  t.is(await questions.ask([], STREAM), null);
  t.is(await questions.ask(['a'], STREAM), null);
});

// Guards against receivers that are kept after their answer: their number grew
// with each question, and a second answer to one was taken.
test('a second answer to a question is ignored', async (t) => {
  const {questions, askIds} = createQuestions(50);
  const asked = questions.ask(['a', 'b'], STREAM);
  questions.handleAnswers([{askId: askIds[0]!, origin: null}]);
  questions.handleAnswers([{askId: askIds[0]!, origin: ORIGIN}]);
  t.is(await asked, null);
});
