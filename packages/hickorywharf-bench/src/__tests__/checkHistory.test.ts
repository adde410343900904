import path from 'node:path';
import test from 'ava';
import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import {checkHistory} from '../checkHistory.ts';
import {historyChecks} from '../history/historyChecks.ts';
import {loadHistory} from '../loadHistory.ts';

type EventOf<Tag> = Extract<HistoryEvent, {tag: Tag}>;
type Change = (events: HistoryEvent[]) => HistoryEvent[];

const FILE = path.join(import.meta.dirname, '__fixtures__/good.ndjson');
const GOOD = loadHistory(FILE)._unsafeUnwrap();

function select<Tag extends HistoryEvent['tag']>(tag: Tag): EventOf<Tag>[] {
  return GOOD.filter((event) => event.tag === tag) as EventOf<Tag>[];
}

const answered = select('outcomeReceived').filter(
  ({outcome}) => outcome === 'answered',
);
const [firstAnswer, secondAnswer] = answered as [
  EventOf<'outcomeReceived'>,
  EventOf<'outcomeReceived'>,
];
const lost = select('outcomeReceived').find(
  ({outcome}) => outcome === 'connectionLost',
)!;
const ran = select('actionRan')[0]!;
const finished = select('requestFinished')[0]!;
const streamed = select('tokenReceived').filter(
  ({callId}, _index, all) => callId === all.at(-1)!.callId,
);
const drained = select('endpointLeaving').find(
  ({signal}) => signal === 'record',
)!;
const newest = select('configurationInForce').at(-1)!;
const order: EventOf<'orderApplied'> = {
  ...newest,
  tag: 'orderApplied',
  engine: 'engine-1',
  holder: 'engine-1/a',
  fencingNumber: 7,
};
const crash: HistoryEvent = {
  ...newest,
  tag: 'processCrashed',
  name: 'entry-1',
  exitCode: 1,
};
const late: EventOf<'attemptAccepted'> = {
  ...newest,
  tag: 'attemptAccepted',
  requestId: 'r-late',
  attemptId: 'a-late',
  endpoint: drained.endpoint,
};

const remove =
  (...removed: HistoryEvent[]): Change =>
  (events) =>
    events.filter((event) => !removed.includes(event));
const replace =
  (replaced: HistoryEvent, ...replacements: HistoryEvent[]): Change =>
  (events) =>
    events.flatMap((event) => (event === replaced ? replacements : [event]));
const append =
  (...appended: HistoryEvent[]): Change =>
  (events) => [...events, ...appended];
const mapTag =
  <Tag extends HistoryEvent['tag']>(
    tag: Tag,
    change: (event: EventOf<Tag>) => HistoryEvent,
  ): Change =>
  (events) =>
    events.map((event) =>
      event.tag === tag ? change(event as EventOf<Tag>) : event,
    );

const BREACHES: Readonly<
  Record<string, readonly [keyof typeof historyChecks, Change]>
> = {
  'a call receives no outcome': ['one outcome', remove(firstAnswer)],
  'a call receives two outcomes': [
    'one outcome',
    replace(firstAnswer, firstAnswer, firstAnswer),
  ],
  'an outcome is received for a call that was never sent': [
    'one outcome',
    append({...firstAnswer, callId: 'nobody'}),
  ],
  'the contents of two answers are swapped': [
    'own and whole answer',
    (events) =>
      events.map((event) => {
        if (event === firstAnswer) {
          return {...firstAnswer, answerDigest: secondAnswer.answerDigest};
        }
        if (event === secondAnswer) {
          return {...secondAnswer, answerDigest: firstAnswer.answerDigest};
        }
        return event;
      }),
  ],
  'a token is missing': ['no token missing or repeated', remove(streamed[0]!)],
  'a token is repeated': [
    'no token missing or repeated',
    replace(streamed[0]!, streamed[0]!, streamed[0]!),
  ],
  'a stream lacks its last token': [
    'no token missing or repeated',
    remove(streamed.at(-1)!),
  ],
  'a whole stream is missing': [
    'no token missing or repeated',
    remove(...streamed),
  ],
  'a token differs from the expected one': [
    'no token missing or repeated',
    replace(streamed[0]!, {...streamed[0]!, token: 'other'}),
  ],
  'an accepted request has no outcome': [
    'an accepted request ends',
    remove(finished),
  ],
  'a request ends twice': [
    'an accepted request ends',
    append({...finished, outcome: 'unknown'}),
  ],
  'a caller receives another outcome than the entry recorded': [
    'an accepted request ends',
    replace(firstAnswer, {...firstAnswer, outcome: 'unknown'}),
  ],
  'a connection is lost to an entry that was not killed': [
    'an accepted request ends',
    replace(firstAnswer, {...firstAnswer, outcome: 'connectionLost'}),
  ],
  'a connection is lost to an entry that stopped as planned': [
    'an accepted request ends',
    mapTag('processStopped', (event) => ({...event, planned: true})),
  ],
  'an entry answers after the deadline': [
    'outcome within the deadline',
    mapTag('requestSent', (event) => ({
      ...event,
      deadlineMilliseconds: -101,
    })),
  ],
  'a caller receives its outcome after the deadline': [
    'outcome within the deadline',
    replace(firstAnswer, {
      ...firstAnswer,
      monotonicMilliseconds: firstAnswer.monotonicMilliseconds + 5000,
    }),
  ],
  'an action runs twice': ['at most once', append({...ran, requestId: 'r-2'})],
  'an answered action never ran': ['an answered action ran', remove(ran)],
  'the action of a "not run" request ran': [
    '"not run" is true',
    mapTag('requestFinished', (event) =>
      event.requestId === ran.requestId ? {...event, outcome: 'notRun'} : event,
    ),
  ],
  'a "not run" request without an action started a stage': [
    '"not run" is true',
    mapTag('outcomeReceived', (event) =>
      event.callId === streamed[0]!.callId
        ? {...event, outcome: 'notRun'}
        : event,
    ),
  ],
  'a "not run" outcome has no request id': [
    '"not run" is true',
    replace(firstAnswer, {
      ...firstAnswer,
      outcome: 'notRun',
      requestId: null,
    }),
  ],
  'an endpoint accepts an attempt long after it left': [
    'no new work for a leaving endpoint',
    append(late),
  ],
  'an older configuration follows a newer one': [
    'configuration never reverts',
    append({...newest, sequence: newest.sequence - 1}),
  ],
  'an accepted change never becomes active at one process': [
    'accepted configuration is in force within 3 s',
    (events) =>
      events.filter(
        (event) =>
          event.tag !== 'configurationInForce' ||
          event.process !== 'engine-2' ||
          event.sequence === 1,
      ),
  ],
  'an accepted change becomes active at no process': [
    'accepted configuration is in force within 3 s',
    (events) => {
      const accepted = select('configurationAccepted').at(-1)!;
      return events.flatMap((event) =>
        event === accepted ? [{...accepted, sequence: 99}] : [event],
      );
    },
  ],
  'an order of a former holder is applied after one of its successor': [
    'orders of the newest holder only',
    append(order, {...order, holder: 'engine-1/b', fencingNumber: 6}),
  ],
  'a planned stop aborts an attempt at the backend': [
    'a planned stop cuts no work',
    remove(select('attemptEnded')[0]!),
  ],
  'a process crashes': ['no process ends by itself', append(crash)],
  'the end of a process is not recorded': [
    'no process ends by itself',
    mapTag('processStopped', (event) => ({...event, name: 'nobody'})),
  ],
};

const ALLOWED: Readonly<Record<string, Change>> = {
  'clocks of two processes differ by an hour': (events) =>
    events.map((event) =>
      event.process === 'entry-1'
        ? {
            ...event,
            wallMilliseconds: event.wallMilliseconds - 3_600_000,
            monotonicMilliseconds: event.monotonicMilliseconds + 3_600_000,
          }
        : event,
    ),
  'the wall clock of every process steps back': (events) =>
    events.map((event, index) => ({
      ...event,
      wallMilliseconds: event.wallMilliseconds - index * 1000,
    })),
  'a later call with a key that was already used is "not run"': append(
    {...select('requestSent')[0]!, callId: 'again'},
    {
      ...select('requestAccepted')[0]!,
      callId: 'again',
      requestId: 'r-again',
    },
    {...finished, requestId: 'r-again', outcome: 'notRun'},
    {
      ...firstAnswer,
      callId: 'again',
      requestId: 'r-again',
      outcome: 'notRun',
      answerDigest: null,
    },
  ),
  'a new incarnation starts with an older configuration': append(
    {
      ...newest,
      incarnation: 'new',
      tag: 'processStarted',
      name: newest.process,
      role: 'endpoint',
    },
    {...newest, incarnation: 'new', sequence: 1},
  ),
  'an endpoint accepts an attempt just after it left': replace(
    drained,
    drained,
    {
      ...late,
      process: drained.process,
      incarnation: drained.incarnation,
      monotonicMilliseconds: drained.monotonicMilliseconds + 1,
    },
  ),
  'a killed endpoint process aborts its attempts': (events) => {
    const cut = select('attemptEnded')[0]!;
    return events.flatMap((event) => {
      if (event === cut) return [];
      const isItsStop =
        event.tag === 'processStopped' && event.name === cut.process;
      return isItsStop ? [{...event, planned: false}] : [event];
    });
  },
  'an endpoint that returned accepts attempts': append(
    {...newest, tag: 'endpointReturned', endpoint: drained.endpoint},
    late,
  ),
  'an order is repeated by its holder': append(order, order),
  'the history ends while a request is in flight': (events) => {
    const last = select('requestAccepted').at(-1)!;
    return events.slice(0, events.indexOf(last) + 1);
  },
  'a change is accepted just before the end': append({
    ...newest,
    tag: 'configurationAccepted',
    sequence: 99,
    operation: 'last',
  }),
};

test('the recorded history has no breach, and has the events that the tests change', (t) => {
  t.deepEqual(checkHistory(GOOD), []);
  t.is(lost.outcome, 'connectionLost');
  t.is(select('configurationAccepted').length, 2);
});

for (const [description, [promise, change]] of Object.entries(BREACHES)) {
  test(`a breach is found: ${description}`, (t) => {
    const breaches = checkHistory(change([...GOOD]));
    t.true(
      breaches.some((breach) => breach.promise === promise),
      JSON.stringify(breaches.map((breach) => breach.promise)),
    );
    t.true(breaches.every(({events}) => events.length > 0));
  });
}

for (const [description, change] of Object.entries(ALLOWED)) {
  test(`no breach is found: ${description}`, (t) => {
    t.deepEqual(checkHistory(change([...GOOD])), []);
  });
}

test('each check is broken by one of the changed histories', (t) => {
  const broken = new Set<string>(
    Object.values(BREACHES).map(([promise]) => promise),
  );
  t.deepEqual(Array.from(broken).sort(), Object.keys(historyChecks).sort());
});
