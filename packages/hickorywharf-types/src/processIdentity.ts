/** Who a process of the system is. A restart gives a new incarnation. */
export interface ProcessIdentity {
  readonly name: string;
  readonly incarnation: string;
  readonly role: 'entry' | 'endpoint' | 'operator';
  readonly failureDomain: string;
}
