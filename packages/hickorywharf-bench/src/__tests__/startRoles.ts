import {randomUUID} from 'node:crypto';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import type {ExecutionContext} from 'ava';
import bunyan from 'bunyan';
import {applyChanges} from 'hickorywharf-configuration/applyChanges';
import {createEndpointTelemetry} from 'hickorywharf-endpoint/createEndpointTelemetry';
import {runEndpoint} from 'hickorywharf-endpoint/runEndpoint';
import {createEntryTelemetry} from 'hickorywharf-entry/createEntryTelemetry';
import {runEntry} from 'hickorywharf-entry/runEntry';
import {createStoreClient} from 'hickorywharf-platform/createStoreClient';
import {createInstancesStandIn} from 'hickorywharf-standins/createInstancesStandIn';
import {createStoreStandIn} from 'hickorywharf-standins/createStoreStandIn';
import {listen} from 'hickorywharf-standins/listen';
import {createMetrics} from 'hickorywharf-telemetry/createMetrics';
import {createTracer} from 'hickorywharf-telemetry/createTracer';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import {digest} from 'hickorywharf-utils/digest';
import {sleep} from 'hickorywharf-utils/sleep';
import {endpointSettings} from 'hickorywharf-validation/endpointSettings';
import {entrySettings} from 'hickorywharf-validation/entrySettings';
import {Hono} from 'hono';
import {request} from 'undici';

const ADDRESS = '127.0.0.1';
const ACCOUNT_KEY = 'test-key';
const BALANCER_MILLISECONDS = 3000;

interface EngineOptions {
  readonly tokens: number;
  readonly tokenMilliseconds: number;
  readonly tokenCharacters: number;
}

/** An engine that counts started, cancelled and finished generations. */
function createEngine(options: EngineOptions) {
  const {tokens, tokenMilliseconds, tokenCharacters} = options;
  const counts = {begun: 0, cancelled: 0, finished: 0};
  const application = new Hono();
  application.post('/v1/completions', async (context) => {
    const {continuation = []} = await context.req.json<{
      continuation?: string[];
    }>();
    counts.begun += 1;
    let position = continuation.length;
    const encode = (event: unknown) =>
      new TextEncoder().encode(`data: ${JSON.stringify(event)}\n\n`);
    return new Response(
      new ReadableStream<Uint8Array>({
        async pull(controller) {
          if (tokenMilliseconds > 0) await sleep(tokenMilliseconds);
          if (position < tokens) {
            const token = `${position}`.padEnd(tokenCharacters, '.');
            position += 1;
            controller.enqueue(encode({tokens: [token]}));
            return;
          }
          counts.finished += 1;
          const finished = {count: tokens, cachedTokens: 0};
          controller.enqueue(encode({finished}));
          controller.close();
        },
        cancel() {
          counts.cancelled += 1;
        },
      }),
    );
  });
  return {application, counts};
}

/** Starts a TCP relay whose connections a test can reset. */
async function startRelay(t: ExecutionContext, targetPort: number) {
  const sockets = new Set<Socket>();
  const server = createServer((client) => {
    const upstream = connect(targetPort, ADDRESS);
    for (const socket of [client, upstream]) {
      sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        sockets.delete(socket);
        client.destroy();
        upstream.destroy();
      });
    }
    client.pipe(upstream).pipe(client);
  });
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const cut = () => {
    for (const socket of sockets) socket.resetAndDestroy();
  };
  t.teardown(() => {
    server.close();
    cut();
  });
  return {port: (server.address() as AddressInfo).port, cut};
}

async function waitFor(isDone: () => boolean | Promise<boolean>) {
  while (!(await isDone())) await sleep(10);
}

async function getReadiness(port: number) {
  const {statusCode, body} = await request(
    `http://${ADDRESS}:${port}/health/ready`,
  );
  const {reason} = (await body.json()) as {reason: string | null};
  return {statusCode, reason};
}

/**
 * Starts stand-ins of the store, the instance list and an engine. The returned
 * functions start entries and endpoint processes inside the test's own process.
 */
export async function startRoles(
  t: ExecutionContext,
  engineOptions: EngineOptions,
  tls: Readonly<Record<string, string>> = {},
) {
  const clock = createSystemClock();
  const logger = bunyan.createLogger({name: 'test', level: 'fatal'});
  const history = {record: () => undefined, close: () => undefined};
  const engine = createEngine(engineOptions);
  const store = createStoreStandIn();
  const local = {address: ADDRESS, port: 0};
  const storeServer = await listen(store.application, local);
  const instances = await listen(createInstancesStandIn(0), local);
  const engineServer = await listen(engine.application, local);
  const storeUrl = `http://${ADDRESS}:${storeServer.port}`;
  const instancesUrl = `http://${ADDRESS}:${instances.port}/v1/instances`;
  const platform = {storeUrl, instancesUrl, instancesPollMilliseconds: 100};
  const common = {clock, logger, history, random: Math.random};
  const identity = {
    name: 'test',
    role: 'operator',
    failureDomain: 'a',
  } as const;
  const telemetry = {
    clock,
    metrics: createMetrics({address: ADDRESS, port: 0, identity}),
    tracer: await createTracer({url: '', identity}),
  };
  const ports: number[] = [];
  t.teardown(() => {
    for (const server of [storeServer, instances, engineServer]) server.close();
  });

  async function list(name: string, role: string, port: number) {
    const instance = {
      name,
      role,
      address: ADDRESS,
      port,
      failureDomain: 'a',
      state: 'live',
    };
    const {body} = await request(`${instancesUrl}/${name}`, {
      method: 'PUT',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(instance),
    });
    await body.dump();
  }

  /**
   * Starts an engine's endpoint process. Entries reach it through a relay,
   * whose connections `cut` resets.
   */
  async function startEndpoint(name: string) {
    const settings = endpointSettings.parse({
      process: {name, failureDomain: 'a'},
      platform,
      tls,
      listen: local,
      backend: {
        kind: 'engine',
        url: `http://${ADDRESS}:${engineServer.port}`,
        slots: 64,
      },
    });
    const endpoint = await runEndpoint({
      settings,
      ...common,
      telemetry: createEndpointTelemetry(telemetry),
    });
    const relay = await startRelay(t, endpoint.port);
    await list(name, 'endpoint', relay.port);
    return {stop: () => endpoint.stop(), cut: relay.cut};
  }

  async function startEntry(name: string) {
    const settings = entrySettings.parse({
      process: {name, failureDomain: 'a'},
      platform,
      tls,
      http: local,
      stop: {balancerMilliseconds: BALANCER_MILLISECONDS},
    });
    const entry = await runEntry({
      settings,
      ...common,
      telemetry: createEntryTelemetry(telemetry),
    });
    ports.push(entry.port);
    await list(name, 'entry', entry.port);
    return entry;
  }

  async function apply(endpoints: readonly string[]) {
    const documents = [
      {
        kind: 'account',
        name: 'desk',
        keyHash: digest(ACCOUNT_KEY),
        requestsPerSecond: 1000,
      },
      {
        kind: 'pipeline',
        name: 'note',
        deadlineMilliseconds: 60_000,
        stages: [{name: 'generate', kind: 'generate', pool: 'engines'}],
      },
      ...endpoints.map((name) => ({kind: 'endpoint', name, pool: 'engines'})),
    ];
    const changes = documents.map((document) => {
      const {kind, name} = document;
      return {kind, name, document: {schemaVersion: 1, ...document}};
    });
    const operation = randomUUID();
    const entry = {sequence: 1, operation, changes};
    await applyChanges(createStoreClient(storeUrl), entry, 0);
  }

  /** Sends a request that is answered with an event stream. */
  function send(port: number, signal?: AbortSignal) {
    return request(`http://${ADDRESS}:${port}/v1/pipelines/note/requests`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${ACCOUNT_KEY}`,
        accept: 'text/event-stream',
      },
      body: JSON.stringify({text: 'a reel'}),
      ...(signal === undefined ? {} : {signal}),
    });
  }

  return {
    engine,
    store,
    platform,
    startEndpoint,
    startEntry,
    apply,
    list,
    send,
    waitFor,
    getReadiness,
    waitUntilReady: (port: number) =>
      waitFor(async () => (await getReadiness(port)).statusCode === 200),
    /**
     * Parses an event stream: the positions of its tokens, and the name of its
     * last complete event.
     */
    readEvents(text: string) {
      const positions: number[] = [];
      let last = '';
      const whole = text.slice(0, text.lastIndexOf('\n\n') + 1);
      for (const event of whole.split('\n\n')) {
        const [name = '', data = ''] = event.split('\n');
        if (name === '') continue;
        last = name.slice('event: '.length);
        if (last !== 'tokens') continue;
        const {position, tokens} = JSON.parse(data.slice('data: '.length));
        for (const index of tokens.keys()) positions.push(position + index);
      }
      return {positions, last};
    },
  };
}
