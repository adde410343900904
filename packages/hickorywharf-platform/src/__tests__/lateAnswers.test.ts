import {createServer} from 'node:http';
import test from 'ava';
import {listenOn} from 'hickorywharf-utils/listenOn';
import {createStoreClient} from '../createStoreClient.ts';

test('the late second answer of the store is not taken for the answer to the next call', async (t) => {
  const repeats = new WeakMap<object, string>();
  const server = createServer((request, response) => {
    const key = request.url!.split('/').at(-1)!;
    const body = JSON.stringify({key, value: key, revision: 1});
    const repeat = repeats.get(request.socket);
    if (repeat !== undefined) request.socket.write(repeat);
    repeats.set(
      request.socket,
      `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    response.writeHead(200, {'Content-Length': body.length}).end(body);
  });
  const port = await listenOn(server, {host: '127.0.0.1', port: 0});
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const store = createStoreClient(`http://127.0.0.1:${port}`);
  for (const key of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) {
    const item = await store.get(key);
    t.is(item._unsafeUnwrap()?.value, key);
  }
});
