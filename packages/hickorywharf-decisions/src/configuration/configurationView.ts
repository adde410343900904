import type {HalfMove} from 'hickorywharf-types/halfMove';
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
  /** Moves between halves in the order of the log, by record. */
  readonly halfMoves: ReadonlyMap<string, readonly HalfMove[]>;
  /** Sequence of the newest of these moves; 0 for none. */
  readonly assignmentSequence: number;
}
