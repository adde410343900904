import type {ConfigurationView} from 'hickorywharf-decisions/configuration/configurationView';
import type {Finding} from './finding.ts';
import type {FindingInput} from './findingInput.ts';

type Half = string | null;

/** Words for the endpoints of a stage, by its kind. */
const ENDPOINT_WORDS = {
  encode: 'encoder',
  retrieve: 'retriever',
  rerank: 'reranker',
  generate: 'model engine',
  call: 'service',
} as const;

function getHalves({routes, accountsByKeyHash}: ConfigurationView): Set<Half> {
  const records = [...routes.values(), ...accountsByKeyHash.values()];
  return new Set(records.map(({half}) => half));
}

function getServing(
  view: ConfigurationView,
  pool: string,
  half: Half,
): string[] {
  return [...view.endpoints.values()]
    .filter((endpoint) => endpoint.pool === pool && !endpoint.draining)
    .filter(
      (endpoint) =>
        endpoint.half === null || half === null || endpoint.half === half,
    )
    .map(({name}) => name);
}

function getHalfName(half: Half): string {
  return half === null ? 'the shared part' : `half ${half}`;
}

function describe(
  half: Half,
  word: string,
  pool: string,
  before: readonly string[],
): string {
  const name = getHalfName(half);
  if (before.length === 0) return `${name} has no ${word} in pool '${pool}'`;
  if (before.length === 1) {
    return `${name} loses its only ${word}, '${before[0]}' of pool '${pool}'`;
  }
  return `${name} loses its last ${word} in pool '${pool}' (it had ${before.join(', ')})`;
}

/** Whether the callers of a half can reach a pipeline at all. */
function isReachable(
  view: ConfigurationView,
  pipeline: string,
  half: Half,
): boolean {
  const routes = [...view.routes.values()].filter(
    (route) => route.pipeline === pipeline,
  );
  // A pipeline without a route of its own can be called by its name.
  if (routes.length === 0) return true;
  return routes.some((route) => route.half === null || route.half === half);
}

/**
 * Stages that a half cannot run after the change: no endpoint of their pool is
 * the half's or shared, and takes work.
 *
 * @example
 *     findUnservedStages(input);
 */
export function findUnservedStages(input: FindingInput): Finding[] {
  const {before, after} = input;
  const pools = new Set([...after.endpoints.values()].map(({pool}) => pool));
  const findings: Finding[] = [];
  for (const half of getHalves(after)) {
    const told = new Set<string>();
    for (const {name, stages} of after.pipelines.values()) {
      if (!isReachable(after, name, half)) continue;
      for (const {kind, pool} of stages) {
        // A pool without any endpoint is told of once, as a reference.
        if (told.has(pool) || !pools.has(pool)) continue;
        if (getServing(after, pool, half).length > 0) continue;
        told.add(pool);
        const word = ENDPOINT_WORDS[kind];
        const lost = getServing(before, pool, half);
        findings.push({
          severity: 'warning',
          record: `pipeline/${name}`,
          message: describe(half, word, pool, lost),
        });
      }
    }
  }
  return findings;
}
