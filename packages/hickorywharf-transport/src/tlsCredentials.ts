/** Credentials for mutual TLS between processes, as PEM. */
export interface TlsCredentials {
  readonly certificate: string;
  readonly key: string;
  /** Certificate of the authority that signs those of all processes. */
  readonly authority: string;
}
