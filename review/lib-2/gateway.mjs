// Starts the project's program as the deploy file does, on loopback.
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));

export async function findFreePort() {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/** The command of the role in the deploy file, as words. */
function readCommand() {
  const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"/m.exec(text)[1].split(' ');
}

function isReady(port) {
  return new Promise((resolve) => {
    const options = {host: '127.0.0.1', port, path: '/api/ready', agent: false};
    const request = http.get(options, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('error', () => resolve(false));
  });
}

/** Starts a gateway and waits until it is ready. */
export async function startGateway({name, zone, folder, store, seeds = []}) {
  const [callers, readiness, peers, metrics] = await Promise.all(
    [1, 2, 3, 4].map(findFreePort),
  );
  const settings = `[process]
name=${name}
failureDomain=${zone}

[listen]
callers=127.0.0.1:${callers}
readiness=127.0.0.1:${readiness}
peers=127.0.0.1:${peers}
metrics=127.0.0.1:${metrics}

[peers]
seeds=${[`127.0.0.1:${peers}`, ...seeds].join(',')}

[limits]
coreShare=0.513
linkMegabits=1000
memoryMegabytes=350
maximumDescriptors=4100

[store]
address=${store}

[bounds]
graceSeconds=8
revokeMilliseconds=5000
applyMilliseconds=2000
drainMilliseconds=2000
repeatRatio=0.2
repeatWindowSeconds=10
repeatAllowance=52
`;
  const file = path.join(folder, `${name}.ini`);
  fs.writeFileSync(file, settings);
  const log = fs.openSync(path.join(folder, `${name}.log`), 'a');
  const [program, ...words] = readCommand();
  const child = spawn(program, words, {
    cwd: root,
    env: {PATH: process.env.PATH, HICKORYWHARF_CONFIG: file},
    stdio: ['ignore', log, log],
  });
  const exited = new Promise((resolve) =>
    child.once('exit', (code, signal) => resolve({code, signal})),
  );
  const until = Date.now() + 15_000;
  while (!(await isReady(readiness))) {
    if (Date.now() > until) throw new Error(`${name} does not become ready`);
    await sleep(50);
  }
  return {
    name,
    callers,
    child,
    exited,
    peersAddress: `127.0.0.1:${peers}`,
    readLog: () => fs.readFileSync(path.join(folder, `${name}.log`), 'utf8'),
    kill: (signal) => child.kill(signal),
  };
}
