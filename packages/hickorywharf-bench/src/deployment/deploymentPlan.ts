import type {ConfigurationRecord} from 'hickorywharf-types/record';

/** A small version of a user's deployment, for the demo and the experiments. */
export interface DeploymentPlan {
  readonly name: string;
  readonly entries: readonly string[];
  /** Assigned to the processes in turn. */
  readonly failureDomains: readonly string[];
  readonly endpoints: readonly {
    readonly name: string;
    readonly pool: string;
    readonly backend: 'engine' | 'pool' | 'service';
    readonly slots: number;
  }[];
  readonly pipelines: readonly Extract<
    ConfigurationRecord,
    {kind: 'pipeline'}
  >[];
  /** Key of the client account that every deployment has. */
  readonly accountKey: string;
  /** Additional client accounts. */
  readonly accounts?: readonly {
    readonly name: string;
    readonly key: string;
    readonly requestsPerSecond: number;
    readonly weight: number;
  }[];
}
