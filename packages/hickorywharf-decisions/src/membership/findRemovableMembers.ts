import type {Member} from './member.ts';

interface ForgettableOptions {
  /** Names on the platform's list. */
  readonly listed: ReadonlySet<string>;
  /** Whether operators still declare an endpoint of this name. */
  readonly isDeclared: (name: string) => boolean;
}

/**
 * The members that may be forgotten: neither listed nor connected. A failure
 * domain that vanishes as a whole, from the list and from sight, may be a
 * fault of the list or of our own link: what operators still declare of it is
 * kept, and connections to it are tried on.
 *
 * @example
 *     findRemovableMembers(members, {listed, isDeclared});
 */
export function findRemovableMembers(
  members: readonly Member[],
  {listed, isDeclared}: ForgettableOptions,
): string[] {
  const isGone = ({name, connected}: Member) => !connected && !listed.has(name);
  const seenDomains = new Set(
    members
      .filter((member) => !isGone(member))
      .map(({failureDomain}) => failureDomain),
  );
  return members
    .filter(isGone)
    .filter(
      ({name, failureDomain}) =>
        seenDomains.has(failureDomain) || !isDeclared(name),
    )
    .map(({name}) => name);
}
