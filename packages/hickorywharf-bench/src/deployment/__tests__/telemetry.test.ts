import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {mkdtempSync, rmSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import {request} from 'undici';
import {sleep} from 'hickorywharf-utils/sleep';
import {campaignPlan} from '../../campaign/campaignPlan.ts';
import {startDeployment} from '../startDeployment.ts';

const PROGRAM = path.resolve(
  import.meta.dirname,
  '../../../../hickorywharf/bin/hickorywharf.ts',
);
const ADDRESS = '127.0.0.1';
const TRACE = '4bf92f3577b34da6a3ce929d0e0e4736';
const PARENT = '00f067aa0ba902b7';
const CLOSED_PORT = 9;
const POLL_MILLISECONDS = 20;
/** Spans of a request with two stages. */
const SPANS_PER_REQUEST = 7;

interface ExportedSpan {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string;
}

type Started = Awaited<ReturnType<typeof startDeployment>>;

async function withDeployment(
  traceUrl: string,
  metricsPort: number,
  use: (deployment: Started) => Promise<void>,
): Promise<void> {
  const directory = mkdtempSync(path.join(os.tmpdir(), 'telemetry-'));
  const deployment = await startDeployment({
    plan: campaignPlan,
    program: process.execPath,
    programArguments: [PROGRAM],
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

test.serial(
  'a request exports a span for each step, and metrics',
  async (t) => {
    const spans: ExportedSpan[] = [];
    const collector = createServer(async (incoming, response) => {
      const bodyChunks: Buffer[] = [];
      for await (const chunk of incoming) bodyChunks.push(chunk as Buffer);
      const body = JSON.parse(Buffer.concat(bodyChunks).toString());
      for (const {scopeSpans} of body.resourceSpans) {
        for (const scope of scopeSpans) spans.push(...scope.spans);
      }
      response.end('{}');
    });
    collector.listen(0, ADDRESS);
    await once(collector, 'listening');
    const datagrams: string[] = [];
    const socket = createSocket('udp4');
    socket.on('message', (bytes) => datagrams.push(bytes.toString()));
    socket.bind(0, ADDRESS);
    await once(socket, 'listening');

    const {port} = collector.address() as AddressInfo;
    const url = `http://${ADDRESS}:${port}/v1/traces`;
    await withDeployment(url, socket.address().port, async (deployment) => {
      t.is(await sendOne(deployment), 200);
      const count = () => spans.filter(({traceId}) => traceId === TRACE).length;
      while (
        count() < SPANS_PER_REQUEST ||
        !datagrams.join().includes('backend_duration')
      ) {
        await sleep(POLL_MILLISECONDS);
      }
    });
    collector.close();
    socket.close();

    const requestSpans = spans.filter(({traceId}) => traceId === TRACE);
    const select = (name: string) =>
      requestSpans.filter((span) => span.name === name);
    const [requestSpan] = select('entry.request');
    t.is(requestSpan?.parentSpanId, PARENT);
    const attempts = select('entry.attempt');
    t.is(attempts.length, 2);
    t.true(
      attempts.every(({parentSpanId}) => parentSpanId === requestSpan?.spanId),
    );
    const sent = attempts.map(({spanId}) => spanId).sort();
    for (const name of ['endpoint.queue', 'endpoint.backend']) {
      const parents = select(name).map(({parentSpanId}) => parentSpanId);
      t.deepEqual(parents.sort(), sent, name);
    }
    const lines = datagrams.join('\n');
    t.regex(lines, /hickorywharf\.entry\.requests:1\|c\|#.*outcome:answered/);
    t.regex(lines, /hickorywharf\.endpoint\.backend_duration:.*kind:generate/);
  },
);

test.serial(
  'requests are answered while no collector receives telemetry',
  async (t) => {
    const url = `http://${ADDRESS}:${CLOSED_PORT}/v1/traces`;
    await withDeployment(url, CLOSED_PORT, async (deployment) => {
      const sent = Array.from({length: 20}, () => sendOne(deployment));
      t.deepEqual(new Set(await Promise.all(sent)), new Set([200]));
    });
  },
);
