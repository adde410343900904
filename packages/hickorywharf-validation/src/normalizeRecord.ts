import {err, ok, type Result} from 'neverthrow';
import type {ConfigurationRecord} from 'hickorywharf-types/record';
import {getNearestName} from 'hickorywharf-utils/getNearestName';
import * as z from 'zod';
import type {RecordError} from './recordError.ts';

const NEWEST_SCHEMA_VERSION = 2;
const MAXIMUM_NAME_LENGTH = 100;
const MAXIMUM_STAGES = 12;
const MAXIMUM_DEADLINE_MILLISECONDS = 600_000;

const name = z
  .string()
  .min(1)
  .max(MAXIMUM_NAME_LENGTH)
  .regex(/^[a-z0-9][a-z0-9.-]*$/, 'use lower-case letters, digits, . and -');
const schemaVersion = z.int().min(1).max(NEWEST_SCHEMA_VERSION);
/** Null means shared by all halves, as records of schema version 1 are. */
const half = name.nullable().default(null);

/**
 * Milliseconds since the epoch. Keys issued before this time stay with the
 * former half.
 */
const movesFrom = z.int().min(0).optional();

const stage = z.looseObject({
  name,
  kind: z.enum(['encode', 'retrieve', 'rerank', 'generate', 'call']),
  pool: name,
  idempotent: z.boolean().default(true),
  action: z.string().max(MAXIMUM_NAME_LENGTH).optional(),
  maximumTokens: z.int().min(1).max(100_000).optional(),
});

const SCHEMAS = {
  pipeline: z.looseObject({
    kind: z.literal('pipeline'),
    name,
    schemaVersion,
    deadlineMilliseconds: z.int().min(1).max(MAXIMUM_DEADLINE_MILLISECONDS),
    stages: z.array(stage).min(1).max(MAXIMUM_STAGES),
  }),
  route: z.looseObject({
    kind: z.literal('route'),
    name,
    schemaVersion,
    pipeline: name,
    half,
    movesFrom,
  }),
  account: z.looseObject({
    kind: z.literal('account'),
    name,
    schemaVersion,
    keyHash: z.string().regex(/^[0-9a-f]{64}$/, 'use 64 hexadecimal digits'),
    requestsPerSecond: z.number().positive().max(1_000_000),
    weight: z.number().positive().max(1000).default(1),
    half,
    movesFrom,
  }),
  endpoint: z.looseObject({
    kind: z.literal('endpoint'),
    name,
    schemaVersion,
    pool: name,
    half,
    draining: z.boolean().default(false),
  }),
} as const;

const versionedDocument = z.looseObject({
  kind: z.string(),
  name: z.string(),
  schemaVersion: z.int().min(1),
});

function toRecordError(error: z.ZodError): RecordError {
  const issue = error.issues[0]!;
  const path = issue.path.join('.');
  return {tag: 'invalid', path, message: issue.message};
}

function removeHalf(document: Record<string, unknown>) {
  return {...document, half: null, movesFrom: undefined};
}

/**
 * Validates an operator's document and fills in its defaults. A document of a
 * newer schema version is refused, since its fields may have another meaning.
 * Unknown fields are allowed and kept.
 *
 * @example
 *     normalizeRecord({kind: 'route', name: 'catalogue', schemaVersion: 1,
 *       pipeline: 'toy-catalogue'});
 */
export function normalizeRecord(
  document: unknown,
): Result<ConfigurationRecord, RecordError> {
  const versioned = versionedDocument.safeParse(document);
  if (!versioned.success) return err(toRecordError(versioned.error));
  const {kind, schemaVersion: version} = versioned.data;
  if (!Object.hasOwn(SCHEMAS, kind)) {
    const nearest = getNearestName(kind, Object.keys(SCHEMAS));
    const hint = nearest === null ? '' : `; did you mean '${nearest}'?`;
    const message = `'${kind}' is not a kind of record${hint}`;
    return err({tag: 'unknownKind', path: 'kind', message});
  }
  if (version > NEWEST_SCHEMA_VERSION) {
    const message = `version ${version} is newer than ${NEWEST_SCHEMA_VERSION}, the newest that this program supports`;
    return err({tag: 'newerVersion', path: 'schemaVersion', message});
  }
  const readable = version === 1 ? removeHalf(versioned.data) : versioned.data;
  const schema = SCHEMAS[kind as keyof typeof SCHEMAS];
  const parsed = schema.safeParse(readable);
  if (!parsed.success) return err(toRecordError(parsed.error));
  return ok(parsed.data as unknown as ConfigurationRecord);
}
