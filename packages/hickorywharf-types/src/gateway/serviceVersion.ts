/** A software version of the endpoints of a service. */
export interface ServiceVersion {
  readonly service: string;
  readonly version: string;
}
