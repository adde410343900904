import {readFileSync} from 'node:fs';
import path from 'node:path';
import test from 'ava';
import {GATEWAY_COUNTERS} from 'hickorywharf-gateway/gatewayCounters';
import {GATEWAY_TIMERS} from 'hickorywharf-gateway/gatewayTimers';
import {metricDefinitions} from 'hickorywharf-telemetry/metricDefinitions';
import {spanDefinitions} from 'hickorywharf-telemetry/spanDefinitions';
import * as z from 'zod';
import {commands} from '../commands/commands.ts';
import {exitCodes} from '../exitCodes.ts';
import {roleSettings} from '../roleSettings.ts';

const PAGES = path.resolve(import.meta.dirname, '../../../../docs/reference');

/** The rows of a page's only table, without its header and delimiter. */
function readRows(page: string): string[][] {
  const lines = readFileSync(path.join(PAGES, page), 'utf8').split('\n');
  return lines
    .filter((line) => line.startsWith('|'))
    .slice(2)
    .map((line) => line.split('|').slice(1, -1))
    .map((cells) => cells.map((cell) => cell.trim()));
}

interface JsonSchema {
  readonly properties: Readonly<
    Record<
      string,
      {
        readonly properties: Record<string, {default?: unknown}>;
        readonly required?: readonly string[];
      }
    >
  >;
}

const code = (text: string) => `\`${text}\``;
const formatNames = (names: readonly string[]) =>
  names.length === 0 ? 'none' : names.map(code).join(', ');

function formatDefault(value: unknown, isRequired: boolean): string {
  if (value === undefined) return isRequired ? 'required' : 'none';
  return value === '' ? 'empty' : code(String(value));
}

function listSettings(): string[][] {
  const rows = new Map<string, string[]>();
  for (const [role, {schema}] of Object.entries(roleSettings)) {
    const json = z.toJSONSchema(schema, {io: 'input'}) as unknown as JsonSchema;
    for (const [section, {properties, required}] of Object.entries(
      json.properties,
    )) {
      for (const [key, property] of Object.entries(properties)) {
        const name = code(`${section}.${key}`);
        const roles = rows.has(name) ? 'both' : role;
        const isRequired = required?.includes(key) ?? false;
        const text = formatDefault(property.default, isRequired);
        rows.set(name, [name, roles, text]);
      }
    }
  }
  return [...rows.values()].sort();
}

test('settings.md lists each key with its roles and default', (t) => {
  const listed = readRows('settings.md').map((row) => row.slice(0, 3));
  t.deepEqual(listed.sort(), listSettings());
});

test('settings.md lists the names that a setting may have', (t) => {
  const rows = readRows('settings.md');
  for (const {nameSettings} of Object.values(roleSettings)) {
    for (const {section, key, allowedNames} of nameSettings) {
      const row = rows.find(([name]) => name === code(`${section}.${key}`));
      t.is(row?.[3], allowedNames.join(', '));
    }
  }
});

test('metrics.md lists each metric as it is sent', (t) => {
  const expected = Object.entries(metricDefinitions).map(
    ([name, {kind, unit, tags, meaning}]) => [
      code(name),
      kind,
      unit,
      formatNames(tags),
      meaning,
    ],
  );
  t.deepEqual(readRows('metrics.md'), expected);
});

test('spans.md lists each span with its parent and attributes', (t) => {
  const expected = Object.entries(spanDefinitions).map(
    ([name, {parent, attributes, meaning}]) => [
      code(name),
      parent,
      formatNames(attributes),
      meaning,
    ],
  );
  t.deepEqual(readRows('spans.md'), expected);
});

test('command-line.md lists each command with its options', async (t) => {
  const expected = await Promise.all(
    Object.entries(commands).map(async ([name, load]) => {
      const {positionals, summary, options} = await load();
      const usage = code([name, ...positionals].join(' '));
      const flags = Object.keys(options).map((option) => `--${option}`);
      return [usage, summary, formatNames(flags)];
    }),
  );
  t.deepEqual(readRows('command-line.md'), expected);
});

test('exit-codes.md lists each code', (t) => {
  const listed = readRows('exit-codes.md').map((row) => row.slice(0, 2));
  const expected = Object.entries(exitCodes).map(([name, number]) => [
    String(number),
    code(name),
  ]);
  t.deepEqual(listed, expected);
});

test('gateway-metrics.md lists each metric of the gateway', (t) => {
  const counters = Object.entries(GATEWAY_COUNTERS).map(
    ([name, {label, meaning}]) => [code(name), 'counter', label, meaning],
  );
  const timers = Object.entries(GATEWAY_TIMERS).map(([name, {meaning}]) => [
    code(name),
    'time',
    'none',
    meaning,
  ]);
  t.deepEqual(readRows('gateway-metrics.md'), [...counters, ...timers]);
});
