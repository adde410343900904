import test from 'ava';
import {getResourceBounds} from '../getResourceBounds.ts';

/** The longest body that the deployments allow. */
const BODY_BYTES = 4_194_304;

for (const [memoryMegabytes, maximumDescriptors] of [
  [210, 3075],
  [250, 4096],
  [350, 4100],
  [2000, 65_536],
] as const) {
  test(`an instance of ${memoryMegabytes} MB has room for itself and its callers`, (t) => {
    const memoryBytes = memoryMegabytes * 1_000_000;
    const bounds = getResourceBounds({memoryBytes, maximumDescriptors});
    t.true(bounds.heldBytes >= 8 * BODY_BYTES);
    t.true(bounds.heldBytes + 100_000_000 < memoryBytes);
    t.true(bounds.callerConnections >= 1000);
    t.true(
      bounds.callerConnections + bounds.peerConnections <
        maximumDescriptors - 200,
    );
  });
}

test('an instance without stated limits is bounded too', (t) => {
  t.deepEqual(getResourceBounds({}), {
    heldBytes: 33_554_432,
    callerConnections: 1068,
    peerConnections: 389,
  });
});
