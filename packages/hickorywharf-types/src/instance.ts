/** An item of the platform's list of instances, which may be out of date. */
export interface Instance {
  readonly name: string;
  readonly role: 'entry' | 'endpoint';
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}
