import test from 'ava';
import type {QuarantineRecord} from 'hickorywharf-types/gateway/quarantineRecord';
import {createQuarantine} from '../createQuarantine.ts';
import {REQUEST_PREFIX} from '../requestPrefix.ts';

type Quarantine = ReturnType<typeof createQuarantine>;

const PROBE_MILLISECONDS = 2;

/** Ends a process under one call, which was sent 50 ms before. */
function end(
  quarantine: Quarantine,
  process: string,
  parts: readonly string[],
  at: number,
): QuarantineRecord[] {
  const now = at + PROBE_MILLISECONDS;
  const call = {parts, sentAt: at - 50};
  return quarantine.recordEnd(process, [call], at, now);
}

/** Quarantines parts by ends of processes, the last one at 500 ms. */
function quarantineParts(
  quarantine: Quarantine,
  parts: readonly string[],
): QuarantineRecord[] {
  return [100, 300, 500].flatMap((at) => end(quarantine, `e${at}`, parts, at));
}

const isSent = (
  quarantine: Quarantine,
  parts: readonly string[],
  now: number,
): boolean => quarantine.check(parts, now).tag !== 'refused';

test('a part under which three processes ended one after the other is not sent again', (t) => {
  const quarantine = createQuarantine('front-1');
  end(quarantine, 'e1', ['bad'], 100);
  end(quarantine, 'e2', ['bad'], 300);
  t.true(isSent(quarantine, ['bad'], 310));
  end(quarantine, 'e3', ['bad'], 500);
  t.false(isSent(quarantine, ['bad'], 510));
  t.false(isSent(quarantine, ['other', 'bad'], 510));
  t.true(isSent(quarantine, ['other'], 510));
});

test('processes that end together quarantine no part', (t) => {
  const quarantine = createQuarantine('front-1');
  for (let index = 0; index < 20; index += 1) {
    end(quarantine, `e${index}`, ['sound'], 1000 + index);
  }
  t.true(isSent(quarantine, ['sound'], 1100));
});

test('a part whose answers go on between the ends is not quarantined', (t) => {
  const quarantine = createQuarantine('front-1');
  for (let at = 100; at < 5000; at += 100) {
    end(quarantine, `e${at}`, ['sound', 'bad'], at);
    quarantine.recordProgress(['sound'], at + 60);
  }
  t.true(isSent(quarantine, ['sound'], 5000));
  t.false(isSent(quarantine, ['bad'], 5000));
});

test('a part that a peer has seen going on after an end is cleared, whichever is told first', (t) => {
  for (const isEndFirst of [true, false]) {
    const observer = createQuarantine('front-1');
    const peer = createQuarantine('front-2');
    const records = quarantineParts(observer, ['sound']);
    if (isEndFirst) peer.merge(records, 503);
    const own = peer.recordProgress(['sound'], 504);
    const told = isEndFirst ? own : peer.merge(records, 505);
    observer.merge(told, 506);
    t.true(isSent(observer, ['sound'], 560));
    t.true(isSent(peer, ['sound'], 560));
  }
});

test('an end that follows from a quarantined part is not held against other parts', (t) => {
  const quarantine = createQuarantine('front-1');
  quarantineParts(quarantine, ['bad']);
  for (let at = 600; at < 2000; at += 100) {
    end(quarantine, `e${at}`, ['bad', 'sound'], at);
  }
  t.true(isSent(quarantine, ['sound'], 2000));
});

test('of two parts that always come together, the one with answers before is still sent', (t) => {
  const quarantine = createQuarantine('front-1');
  quarantine.recordProgress(['shared'], 0);
  quarantineParts(quarantine, ['shared', 'bad']);
  t.true(isSent(quarantine, ['shared'], 510));
  t.false(isSent(quarantine, ['shared', 'bad'], 510));
});

test('of two parts quarantined together, a call with one of them tells which is sound', (t) => {
  const quarantine = createQuarantine('front-1');
  quarantineParts(quarantine, ['shared', 'bad']);
  t.false(isSent(quarantine, ['shared'], 1400));
  t.false(isSent(quarantine, ['shared', 'bad'], 1600), 'has both');
  t.is(quarantine.check(['shared'], 1600).tag, 'trial');
  quarantine.startTrial(['shared'], 1600);
  t.false(isSent(quarantine, ['shared'], 1610), 'one call only');
  quarantine.recordProgress(['shared'], 1700);
  t.true(isSent(quarantine, ['shared'], 1710));
  t.false(isSent(quarantine, ['shared', 'bad'], 1710));
});

test('ends that several instances saw add up, in any order', (t) => {
  const first = createQuarantine('front-1');
  const second = createQuarantine('front-2');
  const third = createQuarantine('front-3');
  const told = [
    end(second, 'e2', ['bad'], 300),
    end(first, 'e1', ['bad'], 100).map((record) => ({
      ...record,
      ageMilliseconds: 202,
      ...(record.tag === 'end' && {
        suspects: record.suspects.map(({part}) => ({
          part,
          sentAgeMilliseconds: 252,
        })),
      }),
    })),
  ] as QuarantineRecord[][];
  third.merge(told[0]!, 302);
  third.merge(told[1]!, 302);
  t.true(isSent(third, ['bad'], 400));
  end(third, 'e3', ['bad'], 500);
  t.false(isSent(third, ['bad'], 510));
});

test('an instance that connects learns the quarantine before it sends', (t) => {
  const known = createQuarantine('front-1');
  quarantineParts(known, ['bad']);
  known.startTrial(['bad'], 20_600);
  const started = createQuarantine('front-2');
  // Its clock starts at another time.
  started.merge(known.list(21_000), 4000);
  t.false(isSent(started, ['bad'], 4010));
  t.false(isSent(started, ['bad'], 40_000), 'the first trial is used up');
});

test('records that went round are not told again', (t) => {
  const first = createQuarantine('front-1');
  const second = createQuarantine('front-2');
  const records = quarantineParts(first, ['bad', 'sound']);
  t.true(second.merge(records, 505).length > 0);
  const cleared = first.recordProgress(['sound'], 600);
  t.true(second.merge(cleared, 605).length > 0);
  t.deepEqual(first.merge(second.list(700), 710), []);
  t.deepEqual(second.merge(first.list(800), 810), []);
});

test('one instance alone runs the trials, which are three at most', (t) => {
  const names = ['front-1', 'front-2', 'front-3'];
  const instances = names.map(createQuarantine);
  for (const instance of instances) instance.setInstances(names);
  let trials = 0;
  const [first, ...others] = instances as [Quarantine, ...Quarantine[]];
  const records = quarantineParts(first, ['bad']);
  for (const other of others) other.merge(records, 510);
  for (let now = 600; now < 3_000_000; now += 500) {
    for (const instance of instances) {
      const told = instance.recordAsked(['bad'], now);
      const decision = instance.check(['bad'], now);
      if (decision.tag === 'trial') {
        trials += 1;
        told.push(...instance.startTrial(decision.parts, now));
        told.push(...end(instance, `trial${now}`, ['bad'], now + 60));
      } else t.is(decision.tag, 'refused');
      for (const other of instances) other.merge(told, now + 70);
      instance.dropExpired(now);
    }
  }
  t.is(trials, 3);
});

test('an answer in a trial ends the quarantine at all instances', (t) => {
  const names = ['front-1', 'front-2'];
  const [first, second] = names.map(createQuarantine) as [
    Quarantine,
    Quarantine,
  ];
  second.merge(quarantineParts(first, ['mended']), 510);
  t.false(isSent(second, ['mended'], 600));
  const now = 20_700;
  t.is(first.check(['mended'], now).tag, 'trial');
  const trial = first.startTrial(['mended'], now);
  second.merge(trial, now + 10);
  second.merge(first.recordProgress(['mended'], now + 100), now + 110);
  t.true(isSent(second, ['mended'], now + 120));
  t.true(isSent(first, ['mended'], now + 120));
});

test('a quarantine that no call asks for ends', (t) => {
  const quarantine = createQuarantine('front-1');
  quarantineParts(quarantine, ['bad']);
  quarantine.dropExpired(310_000);
  t.is(quarantine.getSize(), 0);
});

test('parts, ends and quarantines are bounded', (t) => {
  const quarantine = createQuarantine('front-1');
  for (let index = 0; index < 1000; index += 1) {
    const parts = Array.from(
      {length: 20},
      (_value, part) => `${index}-${part}`,
    );
    for (const at of [100, 300, 500]) {
      end(quarantine, `e${index}-${at}`, parts, index * 1000 + at);
    }
  }
  t.true(quarantine.getSize() <= 256);
  const records = quarantine.list(1_000_000);
  t.true(records.filter(({tag}) => tag === 'end').length <= 64);
});

test('if the part of most calls is quarantined in place of the bad one, one call without that finds it out', (t) => {
  const quarantine = createQuarantine('front-1');
  end(quarantine, 'e1', ['shared', 'session'], 100);
  end(quarantine, 'e2', ['shared', 'bad'], 300);
  end(quarantine, 'e3', ['shared', 'bad'], 500);
  t.false(isSent(quarantine, ['shared', 'session'], 600));
  t.false(isSent(quarantine, ['shared', 'bad'], 1600));
  t.is(quarantine.check(['shared', 'session'], 1600).tag, 'trial');
  quarantine.startTrial(['shared', 'session'], 1600);
  quarantine.recordProgress(['shared', 'session'], 1700);
  t.true(isSent(quarantine, ['shared', 'session'], 1710));
  t.false(isSent(quarantine, ['shared', 'bad'], 1710));
});

test('an answer before the ends, told late, does not deny the verdict', (t) => {
  const quarantine = createQuarantine('front-1');
  // The answer went on at 400 ms; it was relayed for 150 ms.
  const progress = {tag: 'progress', part: 'bad', isRelayed: true} as const;
  quarantine.merge([{...progress, ageMilliseconds: 0}], 550);
  const verdict = {tag: 'verdict', part: 'bad', id: 'e1', others: []} as const;
  quarantine.merge([{...verdict, ageMilliseconds: 60}], 560);
  t.false(isSent(quarantine, ['bad'], 570));
});

test('a clearing is relayed once, as each relay makes it look later', (t) => {
  const [first, second, third] = ['1', '2', '3'].map(createQuarantine) as [
    Quarantine,
    Quarantine,
    Quarantine,
  ];
  const records = quarantineParts(first, ['sound']);
  second.merge(records, 503);
  third.merge(records, 503);
  const relayed = second.merge(first.recordProgress(['sound'], 600), 610);
  t.is(relayed.length, 1);
  t.deepEqual(third.merge(relayed, 620), []);
  t.true(isSent(third, ['sound'], 620));
});

test('a verdict that an answer has ended is not told anew', (t) => {
  const first = createQuarantine('front-1');
  const second = createQuarantine('front-2');
  const verdicts = quarantineParts(first, ['sound']).filter(
    ({tag}) => tag === 'verdict',
  );
  second.merge(verdicts, 505);
  second.merge(first.recordProgress(['sound'], 520), 525);
  t.deepEqual(second.merge(verdicts, 530), []);
  t.deepEqual(first.merge(verdicts, 530), []);
  t.true(isSent(second, ['sound'], 540));
  t.true(isSent(first, ['sound'], 540));
});

const REQUEST = `${REQUEST_PREFIX}a`;

test('a request under which three processes ended at once is not sent again', (t) => {
  const quarantine = createQuarantine('front-1');
  for (const process of ['e1', 'e2', 'e3']) {
    t.true(isSent(quarantine, [REQUEST], 100));
    end(quarantine, process, [REQUEST], 100);
  }
  t.false(isSent(quarantine, [REQUEST], 110));
  t.true(isSent(quarantine, [`${REQUEST_PREFIX}b`], 110));
});

test('a request that was answered between the ends is sent again', (t) => {
  const quarantine = createQuarantine('front-1');
  for (let at = 100; at < 2000; at += 200) {
    end(quarantine, `e${at}`, [REQUEST], at);
    end(quarantine, `e${at + 50}`, [REQUEST], at + 50);
    quarantine.recordProgress([REQUEST], at + 100);
  }
  t.true(isSent(quarantine, [REQUEST], 2000));
});

test('parts of a prompt are not quarantined for the ends under one request', (t) => {
  const quarantine = createQuarantine('front-1');
  for (let at = 100; at < 2000; at += 100) {
    end(quarantine, `e${at}`, ['shared', REQUEST], at);
  }
  t.false(isSent(quarantine, [REQUEST], 2000));
  t.true(isSent(quarantine, ['shared', `${REQUEST_PREFIX}b`], 2000));
});

test('a part is quarantined by the fifth end under several requests', (t) => {
  const quarantine = createQuarantine('front-1');
  for (const [index, name] of ['a', 'a', 'a', 'b', 'b'].entries()) {
    const at = 100 + 200 * index;
    end(quarantine, `e${at}`, ['bad', REQUEST_PREFIX + name], at);
  }
  t.false(isSent(quarantine, ['bad', `${REQUEST_PREFIX}c`], 1000));
});

test('a quarantined request is sent twice more at most', (t) => {
  const quarantine = createQuarantine('front-1');
  quarantineParts(quarantine, [REQUEST]);
  let sent = 0;
  for (let now = 600; now < 3_000_000; now += 1000) {
    const decision = quarantine.check([REQUEST], now);
    if (decision.tag === 'trial') {
      sent += 1;
      quarantine.startTrial(decision.parts, now);
      end(quarantine, `trial${now}`, [REQUEST], now + 50);
    } else quarantine.recordAsked([REQUEST], now);
    quarantine.dropExpired(now);
  }
  t.is(sent, 2);
});

test('a request that has just ended a process is not sent to the last one that is left', (t) => {
  const quarantine = createQuarantine('front-1');
  end(quarantine, 'e1', [REQUEST], 100);
  const getWait = (processes: readonly string[], now: number): number =>
    quarantine.getLastEndpointWait(REQUEST, processes, now);
  t.is(getWait(['e1', 'e2', 'e3'], 150), 0);
  t.is(getWait(['e1', 'e2'], 150), 2950);
  t.is(getWait(['e2'], 3100), 0);
});

test('requests that waited together at one end are sent to the last process that is left', (t) => {
  const quarantine = createQuarantine('front-1');
  const names = ['a', 'b'].map((name) => REQUEST_PREFIX + name);
  end(quarantine, 'e1', names, 100);
  const [first, second] = names as [string, string];
  t.is(quarantine.getLastEndpointWait(first, ['e2'], 150), 0);
  end(quarantine, 'e2', [first], 200);
  t.is(quarantine.getLastEndpointWait(first, ['e3'], 250), 2950);
  t.is(quarantine.getLastEndpointWait(second, ['e3'], 250), 0);
});

test('requests that look like one with a bad part of the prompt are sent again', (t) => {
  const quarantine = createQuarantine('front-1');
  quarantine.recordProgress(['shared', REQUEST], 0);
  for (let at = 100; at < 2000; at += 100) {
    if (isSent(quarantine, ['shared', 'bad', REQUEST], at - 50)) {
      end(quarantine, `e${at}`, ['shared', 'bad', REQUEST], at);
    }
  }
  t.false(isSent(quarantine, ['shared', 'bad', REQUEST], 2000));
  t.true(isSent(quarantine, ['shared', REQUEST], 2000));
});

test('a request is sent again once a part of its prompt explains the ends', (t) => {
  const quarantine = createQuarantine('front-1');
  for (const [index, name] of ['a', 'a', 'a', 'b', 'b'].entries()) {
    const at = 100 + 200 * index;
    end(quarantine, `e${at}`, ['bad', REQUEST_PREFIX + name], at);
  }
  t.true(isSent(quarantine, [`${REQUEST_PREFIX}a`], 1000));
  t.false(isSent(quarantine, ['bad', `${REQUEST_PREFIX}a`], 1000));
});

test('a request that a peer has seen answered whole before is quarantined by neither after three ends', (t) => {
  const observer = createQuarantine('front-1');
  const peer = createQuarantine('front-2');
  peer.recordProgress([REQUEST], 0);
  const told = peer.merge(quarantineParts(observer, [REQUEST]), 503);
  t.false(isSent(observer, [REQUEST], 504));
  observer.merge(told, 505);
  t.true(isSent(observer, [REQUEST], 510));
  t.true(isSent(peer, [REQUEST], 510));
  const more = end(observer, 'e600', [REQUEST], 600);
  peer.merge(more, 603);
  t.false(isSent(observer, [REQUEST], 610));
  t.false(isSent(peer, [REQUEST], 610));
});
