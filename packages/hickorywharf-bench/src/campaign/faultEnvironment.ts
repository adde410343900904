import type {createTcpRelay} from 'hickorywharf-standins/createTcpRelay';
import type {startDeployment} from '../deployment/startDeployment.ts';

/** The deployment under test, with the state that faults share. */
export interface FaultEnvironment {
  readonly deployment: Awaited<ReturnType<typeof startDeployment>>;
  /** The TCP relays in front of the endpoint processes, by their names. */
  readonly relays: ReadonlyMap<
    string,
    Awaited<ReturnType<typeof createTcpRelay>>
  >;
  /** The entries that the balancer sends to at the moment. */
  readonly balancedEntries: Set<string>;
  /** The endpoints that are drained by their records at the moment. */
  readonly drainedEndpoints: Set<string>;
}
