import type {HalfMove} from 'hickorywharf-types/halfMove';
import type {ConfigurationRecord} from 'hickorywharf-types/record';

type RecordOf<Kind> = Extract<ConfigurationRecord, {kind: Kind}>;

/** The active configuration, indexed for lookups. */
export interface ConfigurationView {
  /** Sequence number of the newest log entry applied; 0 before the first. */
  readonly sequence: number;
  readonly pipelines: ReadonlyMap<string, RecordOf<'pipeline'>>;
  readonly routes: ReadonlyMap<string, RecordOf<'route'>>;
  readonly accountsByKeyHash: ReadonlyMap<string, RecordOf<'account'>>;
  readonly endpoints: ReadonlyMap<string, RecordOf<'endpoint'>>;
  readonly endpointsByPool: ReadonlyMap<
    string,
    readonly RecordOf<'endpoint'>[]
  >;
  /**
   * The newest moves of each route and account in log order, by the key that
   * `getDocumentKey` returns. Once there are moves, a new account or key hash
   * is listed here as well.
   */
  readonly halfMoves: ReadonlyMap<string, readonly HalfMove[]>;
  /** Sequence number of the newest move in `halfMoves`; 0 if there is none. */
  readonly assignmentSequence: number;
}
