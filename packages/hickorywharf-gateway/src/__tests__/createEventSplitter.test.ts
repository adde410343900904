import test from 'ava';
import fc from 'fast-check';
import {createEventSplitter} from '../createEventSplitter.ts';

const STREAM =
  ': start\n\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\nid:3\ndata: c\n\nid: 4';

test('events are complete and in order however a stream is split', (t) => {
  fc.assert(
    fc.property(fc.array(fc.nat(STREAM.length), {maxLength: 20}), (cuts) => {
      const splitter = createEventSplitter();
      const positions = [0, ...cuts.sort((a, b) => a - b), STREAM.length];
      let forwarded = '';
      positions.slice(1).forEach((end, index) => {
        const chunk = Buffer.from(STREAM.slice(positions[index], end));
        const events = splitter.append(chunk)?.toString() ?? '';
        if (events !== '' && !/\n\r?\n$/.test(events)) throw new Error(events);
        forwarded += events;
      });
      const rest = splitter.getRemainder().toString();
      return (
        forwarded + rest === STREAM &&
        rest === 'id: 4' &&
        splitter.getLastId() === '3'
      );
    }),
    {numRuns: 500},
  );
  t.pass();
});

test('the parts of an event are not copied again for each part', (t) => {
  const splitter = createEventSplitter();
  const before = process.cpuUsage();
  for (let count = 0; count < 60_000; count += 1) {
    splitter.append(Buffer.from('x'));
  }
  const events = splitter.append(Buffer.from('\n\n'));
  t.is(events?.length, 60_002);
  const {user, system} = process.cpuUsage(before);
  t.true(user + system < 1_000_000, `${user + system} µs`);
});
