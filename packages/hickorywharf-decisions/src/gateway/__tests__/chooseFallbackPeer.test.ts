import test from 'ava';
import {chooseFallbackPeer} from '../chooseFallbackPeer.ts';

const instances = Array.from({length: 30}, (_value, index) => ({
  name: `front-${index}`,
}));

/** The peers that an instance asks, one after each failure. */
const listAsked = (name: string): string[] =>
  Array.from({length: 8}, (_value, failures) =>
    chooseFallbackPeer({
      name,
      readerName: 'front-29',
      instances,
      failures,
      isConnected: () => true,
    })!,
  );

test('a third that the store turns away hears from others, whichever third it is', (t) => {
  for (let offset = 0; offset < 3; offset += 1) {
    const away = instances.filter((_instance, index) => index % 3 === offset);
    const informed = new Set(
      instances.filter((instance) => !away.includes(instance)),
    );
    const names = new Set([...informed].map(({name}) => name));
    let heardAtOnce = 0;
    for (const {name} of away) {
      const asked = listAsked(name);
      t.is(new Set(asked).size, 8);
      t.false(asked.includes(name) || asked.includes('front-29'));
      const failures = asked.findIndex((peer) => names.has(peer));
      t.true(failures >= 0, `${name} asks ${asked.join()}`);
      if (failures === 0) heardAtOnce += 1;
    }
    t.true(heardAtOnce > away.length / 3);
  }
});

test('no peer is chosen that is not connected', (t) => {
  const options = {name: 'front-0', readerName: null, instances, failures: 0};
  t.is(chooseFallbackPeer({...options, isConnected: () => false}), undefined);
  const [first, second] = listAsked('front-0');
  t.is(
    chooseFallbackPeer({...options, isConnected: (peer) => peer === second}),
    second,
  );
  t.not(first, second);
});
