/** One line of the platform's lagging list of instances. */
export interface Instance {
  readonly name: string;
  readonly role: 'entry' | 'endpoint';
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}
