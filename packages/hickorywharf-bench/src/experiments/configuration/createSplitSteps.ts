import {digest} from 'hickorywharf-utils/digest';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import {splitPlan} from './splitPlan.ts';

type Change = ConfigurationEntry['changes'][number];

const REQUESTS_PER_SECOND = 1000;

function createAccount(half: keyof typeof splitPlan.halves, isSplit: boolean) {
  const {account: name, accountKey} = splitPlan.halves[half];
  const document = {
    kind: 'account',
    schemaVersion: 2,
    name,
    keyHash: digest(accountKey),
    requestsPerSecond: REQUESTS_PER_SECOND,
    weight: 1,
    half: isSplit ? half : null,
  };
  return {kind: 'account', name, document};
}

function createEndpoint(half: string, name: string): Change {
  const {pool} = splitPlan.deployment.endpoints.find(
    (endpoint) => endpoint.name === name,
  )!;
  const document = {kind: 'endpoint', schemaVersion: 2, name, pool, half};
  return {kind: 'endpoint', name, document};
}

const HALVES = Object.keys(
  splitPlan.halves,
) as (keyof typeof splitPlan.halves)[];

/**
 * The changes of a split in the steps in which an operator applies them. The
 * accounts are assigned to the halves no later than the endpoints.
 *
 * @example
 *     createSplitSteps.allAtOnce().length; // 1
 */
export const createSplitSteps = {
  /** Creates the two accounts, not yet assigned to a half. */
  beforeSplit: (): Change[] => HALVES.map((half) => createAccount(half, false)),
  /** One step that assigns all accounts and endpoints. */
  allAtOnce: (): Change[][] => [
    HALVES.flatMap((half) => [
      createAccount(half, true),
      ...splitPlan.halves[half].endpoints.map((name) =>
        createEndpoint(half, name),
      ),
    ]),
  ],
  /** A step for the accounts, then one step for each endpoint. */
  endpointByEndpoint: (): Change[][] => [
    HALVES.map((half) => createAccount(half, true)),
    ...HALVES.flatMap((half) =>
      splitPlan.halves[half].endpoints.map((name) => [
        createEndpoint(half, name),
      ]),
    ),
  ],
} as const;
