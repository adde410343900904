import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {mkdtempSync, rmSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import {request} from 'undici';
import {campaignPlan} from '../../campaign/campaignPlan.ts';
import {startDeployment} from '../startDeployment.ts';

const PROGRAM = path.resolve(
  import.meta.dirname,
  '../../../../hickorywharf/bin/hickorywharf.ts',
);
const ADDRESS = '127.0.0.1';
const TRACE = '4bf92f3577b34da6a3ce929d0e0e4736';
const PARENT = '00f067aa0ba902b7';
const DEAD_PORT = 9;

interface ExportedSpan {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string;
}

type Started = Awaited<ReturnType<typeof startDeployment>>;

async function serve(
  traceUrl: string,
  metricsPort: number,
  use: (deployment: Started) => Promise<void>,
): Promise<void> {
  const directory = mkdtempSync(path.join(os.tmpdir(), 'telemetry-'));
  const deployment = await startDeployment({
    plan: campaignPlan,
    program: process.execPath,
    programWords: [PROGRAM],
    directory,
    getSettings: () => ({
      traces: {url: traceUrl},
      metrics: {address: ADDRESS, port: metricsPort},
    }),
  });
  try {
    await deployment.apply(new Set());
    await deployment.waitUntilReady();
    await use(deployment);
  } finally {
    await deployment.stop();
    rmSync(directory, {recursive: true});
  }
}

async function sendOne({entryUrls}: Started): Promise<number> {
  const url = entryUrls.get('entry-1')!;
  const {statusCode, body} = await request(
    `${url}/v1/pipelines/loan-summary/requests`,
    {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${campaignPlan.accountKey}`,
        traceparent: `00-${TRACE}-${PARENT}-01`,
      },
      body: JSON.stringify({text: 'loans of May', maximumTokens: 3}),
    },
  );
  await body.dump();
  return statusCode;
}

test.serial('a request leaves a span for each hop, and metrics', async (t) => {
  const spans: ExportedSpan[] = [];
  const collector = createServer(async (incoming, response) => {
    const parts: Buffer[] = [];
    for await (const part of incoming) parts.push(part as Buffer);
    const body = JSON.parse(Buffer.concat(parts).toString());
    for (const {scopeSpans} of body.resourceSpans) {
      for (const scope of scopeSpans) spans.push(...scope.spans);
    }
    response.end('{}');
  });
  collector.listen(0, ADDRESS);
  await once(collector, 'listening');
  const measures: string[] = [];
  const socket = createSocket('udp4');
  socket.on('message', (bytes) => measures.push(bytes.toString()));
  socket.bind(0, ADDRESS);
  await once(socket, 'listening');

  const {port} = collector.address() as AddressInfo;
  const url = `http://${ADDRESS}:${port}/v1/traces`;
  await serve(url, socket.address().port, async (deployment) => {
    t.is(await sendOne(deployment), 200);
  });
  collector.close();
  socket.close();

  const own = spans.filter(({traceId}) => traceId === TRACE);
  const select = (name: string) => own.filter((span) => span.name === name);
  const [whole] = select('entry.request');
  t.is(whole?.parentSpanId, PARENT);
  const attempts = select('entry.attempt');
  t.is(attempts.length, 2);
  t.true(attempts.every(({parentSpanId}) => parentSpanId === whole?.spanId));
  const sent = attempts.map(({spanId}) => spanId).sort();
  for (const name of ['endpoint.queue', 'endpoint.backend']) {
    const parents = select(name).map(({parentSpanId}) => parentSpanId);
    t.deepEqual(parents.sort(), sent, name);
  }
  const lines = measures.join('\n');
  t.regex(lines, /hickorywharf\.entry\.requests:1\|c\|#.*outcome:answered/);
  t.regex(lines, /hickorywharf\.endpoint\.backend_duration:.*kind:generate/);
});

test.serial('requests are answered while nobody takes telemetry', async (t) => {
  const url = `http://${ADDRESS}:${DEAD_PORT}/v1/traces`;
  await serve(url, DEAD_PORT, async (deployment) => {
    const sent = Array.from({length: 20}, () => sendOne(deployment));
    t.deepEqual(new Set(await Promise.all(sent)), new Set([200]));
  });
});
