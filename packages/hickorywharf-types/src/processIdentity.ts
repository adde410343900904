/** Identifies a process. A restart keeps the name, with a new incarnation. */
export interface ProcessIdentity {
  readonly name: string;
  readonly incarnation: string;
  readonly role: 'entry' | 'endpoint' | 'operator';
  readonly failureDomain: string;
}
