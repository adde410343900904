import type {HalfMove} from 'hickorywharf-types/halfMove';
import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {ConfigurationView} from './configurationView.ts';

type MoveView = Pick<ConfigurationView, 'halfMoves' | 'assignmentSequence'>;

interface HalfMoveLog {
  /**
   * Records a move if a log entry changed the half of a record or, once there
   * are moves, added an account or changed its key hash.
   */
  recordChange(
    record: string,
    before: ConfigurationRecord | undefined,
    after: ConfigurationRecord | undefined,
    sequence: number,
  ): void;
  /** Replaces all moves with those of a snapshot. */
  replace(moves: readonly HalfMove[]): void;
  getMoves(): readonly HalfMove[];
  getView(): MoveView;
}

/**
 * Moves retained per record. A key issued before the oldest of them counts as
 * belonging to the half from which that move was made. Such a key is expected to
 * be too old to be run; this log does not refuse it.
 */
const MAXIMUM_MOVES = 8;

function getHalf(record: ConfigurationRecord | undefined): string | null {
  const hasHalf = record?.kind === 'route' || record?.kind === 'account';
  return hasHalf ? record.half : null;
}

/** Issue time from which a move applies; 0, for every key, if not stated. */
function getIssuedFrom(record: ConfigurationRecord | undefined): number {
  const hasHalf = record?.kind === 'route' || record?.kind === 'account';
  return hasHalf ? (record.movesFrom ?? 0) : 0;
}

/** Whether requests with an API key may now belong to another account. */
function hasNewKeyHash(
  before: ConfigurationRecord | undefined,
  after: ConfigurationRecord | undefined,
): boolean {
  if (after?.kind !== 'account') return false;
  return before?.kind !== 'account' || before.keyHash !== after.keyHash;
}

/**
 * Creates a log of the moves of routes and accounts between halves. With it,
 * every process assigns an idempotency key to the half that was current at the
 * key's issue time.
 *
 * @example
 *     const log = createHalfMoveLog();
 *     log.recordChange('account/portal', before, after, 7);
 *     log.getView().assignmentSequence; // 7 if the half has changed
 */
export function createHalfMoveLog(): HalfMoveLog {
  let halfMoves = new Map<string, readonly HalfMove[]>();
  let assignmentSequence = 0;

  function add(move: HalfMove): void {
    const moves = [...(halfMoves.get(move.record) ?? []), move];
    halfMoves.set(move.record, moves.slice(-MAXIMUM_MOVES));
    assignmentSequence = Math.max(assignmentSequence, move.sequence);
  }

  return {
    recordChange(record, before, after, sequence) {
      const isMove =
        getHalf(before) !== getHalf(after) ||
        (halfMoves.size > 0 && hasNewKeyHash(before, after));
      if (!isMove) return;
      add({
        record,
        sequence,
        issuedFrom: getIssuedFrom(after),
        from: getHalf(before),
        to: getHalf(after),
      });
    },
    replace(moves) {
      halfMoves = new Map();
      assignmentSequence = 0;
      moves.forEach(add);
    },
    getMoves: () => [...halfMoves.values()].flat(),
    getView: () => ({halfMoves: new Map(halfMoves), assignmentSequence}),
  };
}
