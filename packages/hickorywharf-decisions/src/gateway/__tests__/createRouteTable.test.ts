import test from 'ava';
import type {GatewayRoute} from 'hickorywharf-types/gateway/gatewayRoute';
import {createRouteTable} from '../createRouteTable.ts';

const route = (name: string, host: string, prefix: string) =>
  ({name, host, prefix}) as GatewayRoute;

const table = createRouteTable([
  route('root', 'desk.example', '/'),
  route('loans', 'desk.example', '/loans/'),
  route('history', 'desk.example', '/loans/history/'),
  route('other', 'other.example', '/loans/'),
]);

for (const [host, path, expected] of [
  ['desk.example', '/loans/17', 'loans'],
  ['desk.example', '/loans/history/17', 'history'],
  ['desk.example', '/loans', 'root'],
  ['DESK.example:8080', '/loans/', 'loans'],
  ['other.example', '/loans/history/17', 'other'],
  ['other.example', '/', undefined],
  ['unknown.example', '/loans/', undefined],
] as const) {
  test(`${host}${path} goes to ${expected ?? 'no route'}`, (t) => {
    t.is(table.find(host, path)?.name, expected);
  });
}
