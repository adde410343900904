import test from 'ava';
import {identifyRequest} from '../identifyRequest.ts';

const REQUEST = {
  method: 'POST',
  host: 'desk.example',
  target: '/read/1?page=2',
  account: 'library',
  body: Buffer.from('body'),
} as const;

test('a request has one name each time that it is sent', (t) => {
  const body = Buffer.from('body');
  t.is(identifyRequest({...REQUEST, body}), identifyRequest(REQUEST));
});

test('requests that differ in one field have different names', (t) => {
  const names = [
    {},
    {method: 'PUT'},
    {host: 'other.example'},
    {target: '/read/1'},
    {account: null},
    {account: 'null'},
    {body: Buffer.from('')},
    {body: Buffer.from('bod')},
    {target: '/read/1?page=2"', account: 'library'},
  ].map((fields) => identifyRequest({...REQUEST, ...fields}));
  t.is(new Set(names).size, names.length);
});

test('the name of a request can not be the id of a part of a prompt', (t) => {
  t.regex(identifyRequest(REQUEST), /^request,[\w-]{22}$/);
});
