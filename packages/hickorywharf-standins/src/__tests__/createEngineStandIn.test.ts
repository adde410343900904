import test from 'ava';
import {createEngineStandIn} from '../createEngineStandIn.ts';
import {expectedContent} from '../expectedContent.ts';

const PROMPT = {text: 'x'.repeat(600)};
const COUNT = 3;

function complete(
  engine: ReturnType<typeof createEngineStandIn>,
  body: Record<string, unknown>,
) {
  return engine.request('/v1/completions', {
    method: 'POST',
    body: JSON.stringify({prompt: PROMPT, maximumTokens: COUNT, ...body}),
  });
}

async function readEvents(response: Response) {
  const lines = (await response.text()).split('\n\n').filter(Boolean);
  return lines.map((line) => JSON.parse(line.slice('data: '.length)));
}

function createEngine() {
  return createEngineStandIn({
    prefillMilliseconds: 0,
    tokenMilliseconds: 1,
    capacity: 2,
  });
}

test('tokens depend only on the prompt, and a cached prefix is reused', async (t) => {
  const engine = createEngine();
  const first = await readEvents(await complete(engine, {}));
  const tokens = first.flatMap((event) => event.tokens ?? []);
  const expected = Array.from({length: COUNT}, (_, position) =>
    expectedContent.token(PROMPT, position),
  );
  t.deepEqual(tokens, expected);
  const again = await readEvents(await complete(engine, {}));
  t.true(again.at(-1).finished.cachedTokens > 0);
});

test('a generation resumes after the tokens of its continuation', async (t) => {
  const continuation = [expectedContent.token(PROMPT, 0)];
  const events = await readEvents(
    await complete(createEngine(), {continuation}),
  );
  const tokens = events.flatMap((event) => event.tokens ?? []);
  t.deepEqual(tokens, [
    expectedContent.token(PROMPT, 1),
    expectedContent.token(PROMPT, 2),
  ]);
});

test('a call fails where a failure is injected', async (t) => {
  const engine = createEngine();
  await engine.request('/v1/faults', {
    method: 'PUT',
    body: JSON.stringify({failureShare: 1}),
  });
  t.is((await complete(engine, {})).status, 500);
});
