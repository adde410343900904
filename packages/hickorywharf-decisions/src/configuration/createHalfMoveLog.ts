import type {HalfMove} from 'hickorywharf-types/halfMove';
import type {ConfigurationRecord} from 'hickorywharf-types/record';
import type {ConfigurationView} from './configurationView.ts';

type MoveView = Pick<ConfigurationView, 'halfMoves' | 'assignmentSequence'>;

interface HalfMoveLog {
  /** Compares a record before and after a change of the configuration log. */
  recordChange(
    record: string,
    before: ConfigurationRecord | undefined,
    after: ConfigurationRecord | undefined,
    sequence: number,
  ): void;
  /** Takes a peer's moves in place of the own ones. */
  replace(moves: readonly HalfMove[]): void;
  getMoves(): readonly HalfMove[];
  getView(): MoveView;
}

/** Moves kept of one record; older keys than the oldest are not run. */
const MAXIMUM_MOVES = 8;

function getHalf(record: ConfigurationRecord | undefined): string | null {
  const hasHalf = record?.kind === 'route' || record?.kind === 'account';
  return hasHalf ? record.half : null;
}

function getIssuedFrom(record: ConfigurationRecord | undefined): number {
  const hasHalf = record?.kind === 'route' || record?.kind === 'account';
  return hasHalf ? (record.movesFrom ?? 0) : 0;
}

/** Whether requests with one key may now count as another account's. */
function changesIdentity(
  before: ConfigurationRecord | undefined,
  after: ConfigurationRecord | undefined,
): boolean {
  if (after?.kind !== 'account') return false;
  return before?.kind !== 'account' || before.keyHash !== after.keyHash;
}

/**
 * Remembers which routes and accounts moved between halves, so that every
 * process gives a key the half of its issue time.
 *
 * @example
 *     const log = createHalfMoveLog();
 *     log.note('account/portal', before, after, 7);
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
        (halfMoves.size > 0 && changesIdentity(before, after));
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
