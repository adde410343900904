import test from 'ava';
import {findFreePorts} from '../findFreePorts.ts';

test('ports that are found before the earlier ones are used are other ones', async (t) => {
  const ports: number[] = [];
  for (let call = 0; call < 300; call += 1) {
    ports.push(...(await findFreePorts('127.0.0.1', 4)));
  }
  t.is(new Set(ports).size, 1200);
});
