/** What mutual TLS between our processes takes, as PEM. */
export interface TlsCredentials {
  readonly certificate: string;
  readonly key: string;
  /** The authority that signs the certificates of all processes. */
  readonly authority: string;
}
