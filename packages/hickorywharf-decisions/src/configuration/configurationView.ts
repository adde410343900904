import type {ConfigurationRecord} from 'hickorywharf-types/record';

type RecordOf<Kind> = Extract<ConfigurationRecord, {kind: Kind}>;

/** The configuration in force, indexed for the decisions that read it. */
export interface ConfigurationView {
  /** Position in the configuration log; 0 before any configuration. */
  readonly sequence: number;
  readonly pipelines: ReadonlyMap<string, RecordOf<'pipeline'>>;
  readonly routes: ReadonlyMap<string, RecordOf<'route'>>;
  readonly accountsByKeyHash: ReadonlyMap<string, RecordOf<'account'>>;
  readonly endpoints: ReadonlyMap<string, RecordOf<'endpoint'>>;
  readonly endpointsByPool: ReadonlyMap<
    string,
    readonly RecordOf<'endpoint'>[]
  >;
}
