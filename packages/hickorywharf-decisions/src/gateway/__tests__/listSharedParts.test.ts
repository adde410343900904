import test from 'ava';
import {listSharedParts} from '../listSharedParts.ts';

const parts = (...ids: string[]) => ids.map((id) => ({id}));

test('the last part of a prompt is not shared', (t) => {
  t.deepEqual(listSharedParts(parts('a', 'b', 'c')), ['a', 'b']);
  t.deepEqual(listSharedParts(parts('a')), []);
  t.deepEqual(listSharedParts([]), []);
});

test('the shared parts are bounded in number and length', (t) => {
  const many = Array.from({length: 5000}, (_value, index) => String(index));
  t.true(listSharedParts(parts(...many)).length <= 64);
  const long = 'x'.repeat(16_000);
  const [id] = listSharedParts(parts(long, 'own'));
  t.true(id!.length <= 64);
  t.not(id, listSharedParts(parts(`${long}y`, 'own'))[0]);
});
