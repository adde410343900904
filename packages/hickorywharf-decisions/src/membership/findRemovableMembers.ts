import type {Member} from './member.ts';

interface RemovableOptions {
  /** Names of all endpoints on the platform's list of instances. */
  readonly listed: ReadonlySet<string>;
  /** Whether the configuration declares an endpoint of this name. */
  readonly isDeclared: (name: string) => boolean;
}

/**
 * Finds the members that can be removed: those that are neither listed nor
 * connected. If this applies to all members of a failure domain, the cause may
 * be a fault of the list or of this process's link, so the members that the
 * configuration declares are kept, and connections to them are still attempted.
 *
 * @returns names in the order of the members
 * @example
 *     findRemovableMembers(members, {listed, isDeclared}); // ['engine-7']
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
