import test from 'ava';
import type {Frame} from 'hickorywharf-types/frame';
import {createFrameReader} from '../createFrameReader.ts';
import {sendToAll} from '../sendToAll.ts';

test('a frame for several peers is encoded once', (t) => {
  const sent: Buffer[] = [];
  const connection = {
    sendEncoded(bytes: Buffer): boolean {
      sent.push(bytes);
      return true;
    },
  };
  const frame: Frame = {tag: 'stageWaits', services: []};
  sendToAll([connection, connection, connection], frame);
  t.is(sent.length, 3);
  t.is(new Set(sent).size, 1);
  const frames = createFrameReader('peer').read(sent[0]!)._unsafeUnwrap();
  t.deepEqual(frames, [frame]);
});
