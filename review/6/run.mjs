// A planned stop while a model server has preempted a stream. The server reads
// the prompt in again and would go on after 1.8 s. The other server is full.
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {sendRequest} from '../lib-2/client.mjs';
import {startEngineServer} from '../lib-2/engineServer.mjs';
import {sleep, startGateway} from '../lib-2/gateway.mjs';
import {startStore} from '../lib-2/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-6-'));
const lines = [];
const startedAt = performance.now();
function record(text) {
  const at = ((performance.now() - startedAt) / 1000).toFixed(3);
  lines.push(`${at.padStart(7)} s  ${text}`);
}

const GRACE_MS = 8000;
const EVENTS = 40;
const MARKED = 'bbbbbbbbbbbbbbbb';

/** The server that has the stream; other callers fill the other one. */
let holder = null;
let gateway;
let code = 2;
const servers = [];
const store = await startStore();
try {
  store.put('op/config', {
    version: 7,
    routes: [
      {
        name: 'captions',
        host: 'captions.example',
        prefix: '/captions/',
        service: 'models',
        routeType: 'stream',
        canResume: true,
        timeoutMs: 15_000,
        targetLatencyMs: 2200,
        gapTargetMs: 250,
        priority: 2,
        maxAttempts: 2,
        sticky: true,
      },
    ],
    services: [
      {
        name: 'models',
        healthPath: '/health',
        maxConns: 360,
        engine: {slots: 64, kvCapacityTokens: 440_000},
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  });
  for (const [id, zone] of [
    ['i-1', 'a'],
    ['i-2', 'b'],
  ]) {
    const server = await startEngineServer({
      id,
      isFull: () => holder !== null && holder !== id,
      onRun(requestId) {
        if (requestId === MARKED) holder = id;
      },
      getPause: (requestId) =>
        hasTrouble && requestId === MARKED
          ? {afterEvents: 8, milliseconds: 1800}
          : null,
      record,
    });
    servers.push(server);
    store.put(`servers/${id}`, {
      service: 'models',
      address: server.address,
      zone,
      version: 'v1',
      slots: 64,
      state: 'ready',
      seq: 1,
      born: Date.now(),
    });
  }
  gateway = await startGateway({
    name: 'front-a-1',
    zone: 'a',
    folder,
    store: store.address,
  });
  record('the gateway is ready');
  const send = (requestId, events) =>
    sendRequest({
      port: gateway.callers,
      host: 'captions.example',
      method: 'POST',
      target: '/captions/1',
      headers: {
        'request-id': requestId,
        'time-left-ms': '15000',
        model: 'm',
        'token-counts': `543,${events * 3}`,
        'prompt-prefix': `5c1e07a2:172,${requestId.slice(0, 8)}:371`,
      },
      body: 'x'.repeat(1000),
    });
  const first = await send('aaaaaaaaaaaaaaaa', 10);
  record(`a first stream ended with ${first.status}, whole: ${first.isWhole}`);
  if (first.status !== 200 || !first.isWhole) throw new Error('no service');
  await sleep(1000);

  record(`client: sends ${MARKED}`);
  const answered = send(MARKED, EVENTS);
  await sleep(300);
  gateway.kill('SIGTERM');
  const termAt = performance.now();
  record('SIGTERM');
  const killTimer = setTimeout(() => gateway.kill('SIGKILL'), GRACE_MS);
  const {status, isWhole, reason, text} = await answered;
  const endedAfter = Math.round(performance.now() - termAt);
  const events = text.split('\n\n').length - 1;
  record(
    `client: ${status}, ${events} of ${EVENTS} events, whole: ${isWhole} ` +
      `(${reason}), ${endedAfter} ms after SIGTERM`,
  );
  const exit = await gateway.exited;
  clearTimeout(killTimer);
  record(`the gateway ended with ${exit.code}`);
  // The rule: the channel ended without a complete answer, and not because the
  // server broke off or was still at work in the last sixth of the grace period.
  const isBroken = !isWhole && endedAfter < (GRACE_MS * 5) / 6;
  const isHeld = !isBroken;
  record(isHeld ? 'LOST held' : 'LOST broken: the stream was cut');
  code = isHeld ? 0 : 1;
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  gateway?.kill('SIGKILL');
  for (const server of servers) server.close();
  store.close();
  fs.writeFileSync(
    new URL('record.txt', import.meta.url),
    `${lines.join('\n')}\n`,
  );
  fs.rmSync(folder, {recursive: true, force: true});
}
process.exit(code);
