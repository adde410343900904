import type {ConfigurationView} from 'hickorywharf-decisions/configuration/configurationView';
import type {Finding} from './finding.ts';
import type {FindingInput} from './findingInput.ts';

type Half = string | null;

/** Terms in messages for the endpoints of a stage, by its kind. */
const ENDPOINT_TERMS = {
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

function getServingEndpoints(
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
  return half === null ? 'shared traffic' : `half ${half}`;
}

function describe(
  half: Half,
  term: string,
  pool: string,
  before: readonly string[],
): string {
  const name = getHalfName(half);
  if (before.length === 0) return `${name} has no ${term} in pool '${pool}'`;
  if (before.length === 1) {
    return `${name} loses its only ${term}, '${before[0]}' of pool '${pool}'`;
  }
  return `${name} loses its last ${term} in pool '${pool}' (it had ${before.join(', ')})`;
}

/** Whether the callers of a half can reach a pipeline. */
function isReachable(
  view: ConfigurationView,
  pipeline: string,
  half: Half,
): boolean {
  const routes = [...view.routes.values()].filter(
    (route) => route.pipeline === pipeline,
  );
  // A pipeline without a route can be called by its name.
  if (routes.length === 0) return true;
  return routes.some((route) => route.half === null || route.half === half);
}

/**
 * Finds stages that a half cannot run after the change: each endpoint of their
 * pool belongs to another half or is draining. There is one finding for each
 * half and pool.
 *
 * @example
 *     findUnservedStages(input)[0]?.record; // 'pipeline/question'
 */
export function findUnservedStages(input: FindingInput): Finding[] {
  const {before, after} = input;
  const pools = new Set([...after.endpoints.values()].map(({pool}) => pool));
  const findings: Finding[] = [];
  for (const half of getHalves(after)) {
    const reportedPools = new Set<string>();
    for (const {name, stages} of after.pipelines.values()) {
      if (!isReachable(after, name, half)) continue;
      for (const {kind, pool} of stages) {
        // An empty pool is already reported as a missing reference.
        if (reportedPools.has(pool) || !pools.has(pool)) continue;
        if (getServingEndpoints(after, pool, half).length > 0) continue;
        reportedPools.add(pool);
        const term = ENDPOINT_TERMS[kind];
        const previous = getServingEndpoints(before, pool, half);
        findings.push({
          severity: 'warning',
          record: `pipeline/${name}`,
          message: describe(half, term, pool, previous),
        });
      }
    }
  }
  return findings;
}
