import {getNearestName} from 'hickorywharf-utils/getNearestName';
import type {Finding} from './finding.ts';
import type {FindingInput} from './findingInput.ts';

function getHint(name: string, known: Iterable<string>): string {
  const nearest = getNearestName(name, known);
  return nearest === null ? '' : `; did you mean '${nearest}'?`;
}

function findMissingPipelines({after}: FindingInput): Finding[] {
  return [...after.routes.values()]
    .filter(({pipeline}) => !after.pipelines.has(pipeline))
    .map(({name, pipeline}) => ({
      severity: 'error',
      record: `route/${name}`,
      message: `pipeline: no pipeline is named '${pipeline}'${getHint(pipeline, after.pipelines.keys())}`,
    }));
}

function findEmptyPools({after}: FindingInput): Finding[] {
  const pools = new Set([...after.endpoints.values()].map(({pool}) => pool));
  return [...after.pipelines.values()].flatMap(({name, stages}) =>
    stages
      .filter(({pool}) => !pools.has(pool))
      .map((stage) => ({
        severity: 'warning' as const,
        record: `pipeline/${name}`,
        message: `stage '${stage.name}': no endpoint is in pool '${stage.pool}'${getHint(stage.pool, pools)}`,
      })),
  );
}

/**
 * Finds routes to missing pipelines, which are errors, and stages whose pool
 * has no endpoint, which are warnings. Each message suggests the most similar
 * name, if there is one.
 *
 * @example
 *     findMissingReferences(input)[0]?.record; // 'route/lend'
 */
export function findMissingReferences(input: FindingInput): Finding[] {
  return [...findMissingPipelines(input), ...findEmptyPools(input)];
}
