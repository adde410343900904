import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import fc from 'fast-check';
import {loadRoleSettings} from '../loadRoleSettings.ts';
import {roleSettings} from '../roleSettings.ts';

const GOOD = `
[process]
name = entry-1
failureDomain = domain-1
[platform]
storeUrl = http://127.0.0.1:7000
instancesUrl = http://127.0.0.1:7001/v1/instances
[http]
address = 127.0.0.1
port = 8080
`;

interface Sources {
  readonly text?: string;
  readonly assignments?: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
}

function load({text = GOOD, assignments = [], environment = {}}: Sources) {
  const directory = mkdtempSync(path.join(os.tmpdir(), 'settings-'));
  const file = path.join(directory, 'entry.ini');
  writeFileSync(file, text);
  const loaded = loadRoleSettings({
    role: 'entry',
    file,
    assignments,
    environment,
  });
  rmSync(directory, {recursive: true});
  return loaded.mapErr((error) => ({
    location: `${path.basename(error.file)} [${error.section}] ${error.key}`,
    message: error.message,
  }));
}

test('flags override the environment, and that overrides the file', (t) => {
  const environment = {
    HICKORYWHARF_HTTP_PORT: '8081',
    HICKORYWHARF_PROCESS_FAILURE_DOMAIN: 'domain-2',
  };
  const assignments = ['http.port=8082'];
  const settings = load({environment, assignments})._unsafeUnwrap();
  t.is(settings.http.port, 8082);
  t.is(settings.process.failureDomain, 'domain-2');
  t.is(settings.process.name, 'entry-1');
});

const INVALID_SETTINGS: Readonly<
  Record<string, readonly [Sources, string, RegExp]>
> = {
  'an unknown key': [
    {text: `${GOOD}prot = 1\n`},
    'entry.ini [http] prot',
    /did you mean 'port'.*Allowed: address, port/,
  ],
  'an unknown section': [
    {text: `${GOOD}[limit]\nbodyBytes = 1\n`},
    'entry.ini [limit] ',
    /did you mean 'limits'/,
  ],
  'a missing section': [
    {text: GOOD.replace(/\[http\][^]*/, '')},
    'entry.ini [http] ',
    /is missing/,
  ],
  'a missing key': [
    {text: GOOD.replace('name = entry-1', '')},
    'entry.ini [process] name',
    /is missing/,
  ],
  'a number out of its range': [
    {text: GOOD.replace('8080', '80800')},
    'entry.ini [http] port',
    /65535/,
  ],
  'an empty number': [
    {text: GOOD.replace('port = 8080', 'port =')},
    'entry.ini [http] port',
    /is empty/,
  ],
  'a host name instead of an IP address': [
    {text: GOOD.replace('address = 127.0.0.1', 'address = localhost')},
    'entry.ini [http] address',
    /./,
  ],
  'an unknown policy': [
    {text: `${GOOD}[policy]\nrouting = twoChoice\n`},
    'entry.ini [policy] routing',
    /did you mean 'twoChoices'.*Allowed: /,
  ],
  'a wrong value from the environment': [
    {environment: {HICKORYWHARF_HTTP_PORT: 'http'}},
    'HICKORYWHARF_HTTP_PORT [http] port',
    /number/,
  ],
  'a wrong value from a flag': [
    {assignments: ['logs.level=loud']},
    '--set logs.level [logs] level',
    /"info"/,
  ],
  'a flag without a value': [
    {assignments: ['http.port']},
    '--set [] ',
    /section\.key=value/,
  ],
  'a file that is too large': [
    {text: `;${'x'.repeat(300_000)}`},
    'entry.ini [] ',
    /larger than/,
  ],
};

for (const [what, [sources, location, message]] of Object.entries(
  INVALID_SETTINGS,
)) {
  test(`refused with its location and the allowed values: ${what}`, (t) => {
    const error = load(sources)._unsafeUnwrapErr();
    t.is(error.location, location);
    t.regex(error.message, message);
  });
}

test('no text makes loading throw', (t) => {
  fc.assert(
    fc.property(fc.string({maxLength: 200}), fc.string(), (text, value) => {
      load({text: GOOD + text});
      load({text});
      load({assignments: [`http.port=${value}`]});
    }),
    {numRuns: 200},
  );
  t.pass();
});

test('each role has a section that no other role has', (t) => {
  const {entry, endpoint} = roleSettings;
  t.false(entry.uniqueSection in endpoint.schema.shape);
  t.false(endpoint.uniqueSection in entry.schema.shape);
});
