import type {ConfigurationView} from 'hickorywharf-decisions/configuration/configurationView';
import type {Finding} from './finding.ts';
import type {FindingInput} from './findingInput.ts';

function getActionPools(view: ConfigurationView): Set<string> {
  const stages = [...view.pipelines.values()].flatMap(({stages}) => stages);
  return new Set(
    stages.filter(({idempotent}) => !idempotent).map(({pool}) => pool),
  );
}

/**
 * Finds endpoints that move to another half or pool and whose pool after the
 * change runs non-idempotent actions: the idempotency keys that they are the
 * home of get another home.
 *
 * @example
 *     findMovedHomes(input)[0]?.record; // 'endpoint/desk-1'
 */
export function findMovedHomes({before, after}: FindingInput): Finding[] {
  const pools = getActionPools(after);
  return [...after.endpoints.values()].flatMap((endpoint) => {
    const {name, pool, half} = endpoint;
    const previous = before.endpoints.get(name);
    if (previous === undefined || !pools.has(pool)) return [];
    if (previous.half === half && previous.pool === pool) return [];
    return [
      {
        severity: 'warning' as const,
        record: `endpoint/${name}`,
        message: `moves from ${previous.half ?? 'shared'} to ${half ?? 'shared'} and pool '${pool}' runs non-idempotent actions: each key has only one home, and keys whose home changes are refused as "not run" until the new home takes over`,
      },
    ];
  });
}
