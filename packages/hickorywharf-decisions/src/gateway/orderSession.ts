import {hashNumber} from 'hickorywharf-utils/hashNumber';

interface SessionEngine {
  readonly id: string;
  /** How much longer its work takes than that of a usual engine. */
  readonly slowness: number;
}

const HASH_RANGE = 2 ** 32;

/**
 * Orders engines for the session of a prompt, which its last shared part
 * identifies, by weighted rendezvous hashing: an engine is first for a share of
 * the sessions that is proportional to its speed. Instances that know about the
 * same speeds get the same order for nearly all sessions, and few sessions move
 * when a speed changes.
 *
 * @param parts parts of the prompt in order; only the last one is unique
 * @returns the ids, the engine that should hold the session first
 * @example
 *     orderSession(parts, engines); // ['engine-2', 'engine-1']
 */
export function orderSession(
  parts: ReadonlyArray<{readonly id: string}>,
  engines: readonly SessionEngine[],
): string[] {
  const session = parts.at(-2)?.id ?? parts.at(-1)?.id ?? '';
  const scored = engines.map(({id, slowness}) => {
    const uniform = (hashNumber(`${session}/${id}`) + 0.5) / HASH_RANGE;
    return {id, score: -Math.log(uniform) * slowness};
  });
  scored.sort(
    (left, right) => left.score - right.score || (left.id < right.id ? -1 : 1),
  );
  return scored.map(({id}) => id);
}
