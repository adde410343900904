import net from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {listenOn} from '../listenOn.ts';
import {startTimeout} from '../startTimeout.ts';

function block(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

test.serial(
  'what arrived while the event loop was blocked is read before a timeout',
  async (t) => {
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
  },
);

/** The two ends of a connection; what one writes waits for the other at once. */
async function connectPair(t: ExecutionContext) {
  const accepted = Promise.withResolvers<net.Socket>();
  const server = net.createServer(accepted.resolve);
  const port = await listenOn(server, {host: '127.0.0.1', port: 0});
  const client = net.connect(port, '127.0.0.1');
  const sender = await accepted.promise;
  t.teardown(() => {
    client.destroy();
    sender.destroy();
    server.close();
  });
  return {client, sender};
}

test.serial(
  'what arrived during a block that ended soon after the timeout is read before it',
  async (t) => {
    const {client, sender} = await connectPair(t);
    const result = await new Promise((resolve) => {
      const stop = startTimeout({
        milliseconds: 100,
        onTimeout: () => resolve('timed out'),
      });
      client.on('data', (bytes) => {
        stop();
        resolve(String(bytes));
      });
      sender.write('sent');
      block(120);
    });
    t.is(result, 'sent');
  },
);

test.serial(
  'what arrived while the event loop was blocked again is read before a timeout',
  async (t) => {
    const {client, sender} = await connectPair(t);
    const result = await new Promise((resolve) => {
      const stop = startTimeout({
        milliseconds: 50,
        onTimeout: () => resolve('timed out'),
      });
      client.on('data', (bytes) => {
        stop();
        resolve(String(bytes));
      });
      block(150);
      const blockAgain = (): void => {
        sender.write('sent');
        block(150);
      };
      // Immediates run right before timers.
      setTimeout(() => setImmediate(blockAgain), 10);
    });
    t.is(result, 'sent');
  },
);

test.serial(
  'a timeout ends also when the event loop is blocked again',
  async (t) => {
    const startedAt = performance.now();
    await new Promise<void>((resolve) => {
      startTimeout({milliseconds: 50, onTimeout: resolve});
      const timer = setInterval(() => block(120), 1);
      t.teardown(() => clearInterval(timer));
    });
    t.true(performance.now() - startedAt < 2000);
  },
);

test.serial(
  'a timeout that was ended does not fire, also after the event loop was blocked',
  async (t) => {
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
  },
);
