import test from 'ava';
import {readRequest} from '../readRequest.ts';

function read(text: string) {
  return readRequest({
    requestId: 'r',
    pipelineName: 'checkout',
    headers: new Headers(),
    text,
  });
}

test('a field that frames cannot carry unchanged is refused', (t) => {
  const bodies = [
    '{"text": "a", "parameters": {"__proto__": 1}}',
    '{"text": "a", "parameters": {"deep": [{"\\u005f_proto__": {}}]}}',
  ];
  for (const body of bodies) {
    const error = read(body)._unsafeUnwrapErr();
    t.is(error.tag, 'invalidRequest');
    t.is(error.outcome, 'notRun');
  }
});

test('other fields of parameters are passed on unchanged', (t) => {
  const body = '{"text": "__proto__", "parameters": {"constructor": 1}}';
  const {arrival} = read(body)._unsafeUnwrap();
  t.deepEqual(arrival.input.action?.parameters, {constructor: 1});
});
