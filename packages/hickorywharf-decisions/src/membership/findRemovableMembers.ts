import type {Member} from './member.ts';

interface RemovableOptions {
  /** Names on the platform's list of instances. */
  readonly listed: ReadonlySet<string>;
  /** Whether operators still declare an endpoint of this name. */
  readonly isDeclared: (name: string) => boolean;
}

/**
 * Finds the members that can be removed: neither listed nor connected. If a
 * whole failure domain is neither, the cause may be a fault of the list or of
 * this process's link. Its members that operators still declare are kept, and
 * connections to them are still attempted.
 *
 * @returns names in the order of the members
 * @example
 *     findRemovableMembers(members, {listed, isDeclared});
 */
export function findRemovableMembers(
  members: readonly Member[],
  {listed, isDeclared}: RemovableOptions,
): string[] {
  const isAbsent = ({name, connected}: Member) =>
    !connected && !listed.has(name);
  const presentDomains = new Set(
    members
      .filter((member) => !isAbsent(member))
      .map(({failureDomain}) => failureDomain),
  );
  return members
    .filter(isAbsent)
    .filter(
      ({name, failureDomain}) =>
        presentDomains.has(failureDomain) || !isDeclared(name),
    )
    .map(({name}) => name);
}
