import {PassThrough} from 'node:stream';
import test from 'ava';
import {createLogger} from '../createLogger.ts';

test('every line has request, step and peer, null by default', (t) => {
  const stream = new PassThrough();
  const logger = createLogger({name: 'entry-1', level: 'info', stream});
  logger.info('listening');
  logger.warn({requestId: 'r-1', step: 'queue', peer: 'desk-1'}, 'refused');
  const lines = String(stream.read()).trim().split('\n');
  const [first, second] = lines.map((line) => JSON.parse(line));
  t.like(first, {requestId: null, step: null, peer: null});
  t.like(second, {requestId: 'r-1', step: 'queue', peer: 'desk-1'});
});
