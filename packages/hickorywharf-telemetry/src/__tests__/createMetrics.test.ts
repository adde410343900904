import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {createMetrics} from '../createMetrics.ts';

const ADDRESS = '127.0.0.1';
const identity = {
  name: 'entry-1',
  role: 'entry',
  failureDomain: 'domain-1',
} as const;

test('metrics are sent with their name, value, kind and tags', async (t) => {
  const socket = createSocket('udp4');
  socket.bind(0, ADDRESS);
  await once(socket, 'listening');
  const {port} = socket.address() as AddressInfo;
  const metrics = createMetrics({address: ADDRESS, port, identity});
  const received = once(socket, 'message') as Promise<[Buffer]>;
  metrics.send('entry.requests', 1, {outcome: 'answered', reason: 'none'});
  metrics.send('entry.requests_in_flight', 2, {});
  const [bytes] = await received;
  metrics.close();
  socket.close();
  const [counter, gauge] = bytes.toString().split('\n');
  t.regex(counter!, /^hickorywharf\.entry\.requests:1\|c\|#/);
  t.regex(counter!, /process:entry-1.*outcome:answered.*reason:none/);
  t.regex(gauge!, /^hickorywharf\.entry\.requests_in_flight:2\|g/);
});

test('without a receiver, sending neither throws nor blocks', (t) => {
  const metrics = createMetrics({address: ADDRESS, port: 9, identity});
  for (let count = 0; count < 10_000; count += 1) {
    metrics.send('endpoint.queued', count, {});
  }
  metrics.close();
  t.pass();
});
