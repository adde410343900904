import net from 'node:net';
import test from 'ava';
import {listenOn} from '../listenOn.ts';
import {startTimeout} from '../startTimeout.ts';

function block(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

test('what arrived while the event loop was blocked is read before a timeout', async (t) => {
  const server = net.createServer((socket) => socket.end('sent'));
  t.teardown(() => server.close());
  const port = await listenOn(server, {host: '127.0.0.1', port: 0});
  const result = await new Promise((resolve) => {
    const stop = startTimeout({
      milliseconds: 100,
      onTimeout: () => resolve('timed out'),
    });
    net.connect(port, '127.0.0.1').on('data', (bytes) => {
      stop();
      resolve(String(bytes));
    });
    block(300);
  });
  t.is(result, 'sent');
});

test('a timeout ends also when the event loop is blocked again', async (t) => {
  const startedAt = performance.now();
  await new Promise<void>((resolve) => {
    startTimeout({milliseconds: 50, onTimeout: resolve});
    const timer = setInterval(() => block(120), 1);
    t.teardown(() => clearInterval(timer));
  });
  t.true(performance.now() - startedAt < 2000);
});

test('a timeout that was ended does not fire, also after the event loop was blocked', async (t) => {
  let isFired = false;
  const stop = startTimeout({
    milliseconds: 20,
    onTimeout: () => {
      isFired = true;
    },
  });
  block(150);
  // The timeout is late by now and waits for the second time.
  await new Promise((resolve) => setTimeout(resolve, 10));
  stop();
  await new Promise((resolve) => setTimeout(resolve, 150));
  t.false(isFired);
});
