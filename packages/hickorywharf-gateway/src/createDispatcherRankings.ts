import {rankDispatchers} from 'hickorywharf-decisions/gateway/rankDispatchers';
import type {GatewayState} from './gatewayState.ts';
import {listStageServices} from './listStageServices.ts';

interface DispatcherRankings {
  /** The names of all instances, as `rankDispatchers` returns them. */
  get(service: string): readonly string[];
}

/**
 * Keeps the rankings of the dispatchers of services until the instances or the
 * configuration change: a call asks for them several times.
 *
 * @example
 *     const rankings = createDispatcherRankings(state);
 *     rankings.get('scan'); // ['front-2', 'front-1']
 */
export function createDispatcherRankings(
  state: Pick<GatewayState, 'configuration' | 'instances'>,
): DispatcherRankings {
  const rankings = new Map<string, readonly string[]>();
  let {configuration, instances} = state;

  return {
    get(service) {
      if (
        state.configuration !== configuration ||
        state.instances !== instances
      ) {
        ({configuration, instances} = state);
        rankings.clear();
      }
      let ranking = rankings.get(service);
      if (ranking === undefined) {
        ranking = rankDispatchers(service, listStageServices(state), instances);
        rankings.set(service, ranking);
      }
      return ranking;
    },
  };
}
