import type {createTcpRelay} from 'hickorywharf-standins/createTcpRelay';
import type {startDeployment} from '../deployment/startDeployment.ts';

/** What a fault acts on. */
export interface FaultEnvironment {
  readonly deployment: Awaited<ReturnType<typeof startDeployment>>;
  /** The relays before the endpoint processes, by name. */
  readonly relays: ReadonlyMap<
    string,
    Awaited<ReturnType<typeof createTcpRelay>>
  >;
  /** The entries that the balancer sends to, just now. */
  readonly balanced: Set<string>;
  /** The endpoints that are drained by record, just now. */
  readonly drained: Set<string>;
}
