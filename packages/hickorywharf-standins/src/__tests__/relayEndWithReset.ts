/**
 * Has a relay deliver an end and a reset in the same turn of the event loop,
 * closes all that it has opened and ends by itself. Prints how the server's
 * connection was closed.
 */
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {listenOn} from 'hickorywharf-utils/listenOn';
import {sleep} from 'hickorywharf-utils/sleep';
import {createTcpRelay} from '../createTcpRelay.ts';

const ADDRESS = '127.0.0.1';
const WRITE_INTERVAL_MILLISECONDS = 10;
const HOLD_MILLISECONDS = 100;
const CLOSE_MILLISECONDS = 1000;

const server = createServer({allowHalfOpen: true});
const port = await listenOn(server, {host: ADDRESS, port: 0});
const relay = await createTcpRelay({address: ADDRESS, delayMilliseconds: 50});
relay.setTarget(port);
const client = connect(relay.port, ADDRESS);
client.write('one');
const [accepted] = (await once(server, 'connection')) as [Socket];
await once(accepted, 'data');
// Writes of the relay after the first fail, as the client has left.
const writing = setInterval(
  () => accepted.write('answer'),
  WRITE_INTERVAL_MILLISECONDS,
);
relay.setMode('hold');
client.destroy();
await sleep(HOLD_MILLISECONDS);
const closed = new Promise<string>((resolve) => {
  accepted.on('error', ({code}: NodeJS.ErrnoException) => resolve(`${code}`));
  accepted.on('close', () => resolve('closed'));
});
relay.setMode('pass');
const open = sleep(CLOSE_MILLISECONDS).then(() => 'open');
console.log(await Promise.race([closed, open]));
clearInterval(writing);
accepted.destroy();
server.close();
relay.close();
