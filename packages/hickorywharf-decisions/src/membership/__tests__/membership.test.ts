import test from 'ava';
import fc from 'fast-check';
import type {Instance} from 'hickorywharf-types/instance';
import {findRemovableMembers} from '../findRemovableMembers.ts';
import {findSilentDomains} from '../findSilentDomains.ts';
import {getMemberState} from '../getMemberState.ts';
import {isConfigurationWatcher} from '../isConfigurationWatcher.ts';
import type {Member} from '../member.ts';

const SILENCE_TIMEOUT_MILLISECONDS = 1500;
const NOW = 10_000;

function createMember(
  name: string,
  failureDomain: string,
  values: Partial<Member> = {},
): Member {
  return {
    name,
    failureDomain,
    connected: true,
    leaving: false,
    lastSeenAt: NOW,
    ...values,
  };
}

test('an unresponsive member differs from a disconnected one', (t) => {
  const silent = createMember('a', 'one', {
    lastSeenAt: NOW - SILENCE_TIMEOUT_MILLISECONDS - 1,
  });
  t.is(getMemberState(silent, NOW, SILENCE_TIMEOUT_MILLISECONDS), 'silent');
  const lost = createMember('a', 'one', {connected: false});
  t.is(getMemberState(lost, NOW, SILENCE_TIMEOUT_MILLISECONDS), 'lost');
  t.is(
    getMemberState(createMember('a', 'one'), NOW, SILENCE_TIMEOUT_MILLISECONDS),
    'live',
  );
});

test('the local link is suspected only if all domains are silent', (t) => {
  const disconnected = {connected: false};
  const one = findSilentDomains(
    [createMember('a', 'one', disconnected), createMember('b', 'two')],
    NOW,
    SILENCE_TIMEOUT_MILLISECONDS,
  );
  t.deepEqual(one, {domains: ['one'], mayBeOwnLink: false});
  const all = findSilentDomains(
    [
      createMember('a', 'one', disconnected),
      createMember('b', 'two', disconnected),
    ],
    NOW,
    SILENCE_TIMEOUT_MILLISECONDS,
  );
  t.true(all.mayBeOwnLink);
});

test('a domain that is wholly absent is kept while it is declared', (t) => {
  const disconnected = {connected: false};
  const members = [
    createMember('a', 'one', disconnected),
    createMember('b', 'one', disconnected),
    createMember('c', 'two', disconnected),
    createMember('d', 'two'),
  ];
  const listed = new Set(['d']);
  const isDeclared = (name: string) => name !== 'b';
  t.deepEqual(findRemovableMembers(members, {listed, isDeclared}), ['b', 'c']);
});

function createInstances(names: readonly string[]): Instance[] {
  return names.map((name) => ({
    name,
    role: 'entry',
    address: '127.0.0.1',
    port: 1,
    failureDomain: 'one',
    state: 'live',
  }));
}

test('all entries choose the same two watchers from the same list', (t) => {
  fc.assert(
    fc.property(
      fc.uniqueArray(fc.string({minLength: 1}), {minLength: 1, maxLength: 40}),
      (names) => {
        const instances = createInstances(names);
        const watchers = names.filter((name) =>
          isConfigurationWatcher(
            {name, incarnation: '', role: 'entry', failureDomain: 'one'},
            instances,
          ),
        );
        return watchers.length === Math.min(2, names.length);
      },
    ),
    {seed: 3},
  );
  t.pass();
});

test('there is a watcher even if lists differ in one name', (t) => {
  fc.assert(
    fc.property(
      fc.uniqueArray(fc.string({minLength: 1}), {minLength: 2, maxLength: 40}),
      fc.nat(),
      (names, missingIndex) => {
        const missing = names[missingIndex % names.length]!;
        const watchers = names.filter((name, index) => {
          const others = names.filter((other) => other !== missing);
          const list = createInstances(index % 2 === 0 ? names : others);
          const identity = {
            name,
            incarnation: '',
            role: 'entry',
            failureDomain: 'one',
          } as const;
          return isConfigurationWatcher(identity, list);
        });
        return watchers.length >= 1;
      },
    ),
    {seed: 5},
  );
  t.pass();
});
