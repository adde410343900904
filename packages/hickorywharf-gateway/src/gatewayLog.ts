/** Structured lines, one for each decision or change of belief. */
export interface GatewayLog {
  /** A decision about a request; bounded under load. */
  infoRateLimited(
    message: string,
    fields: Readonly<Record<string, unknown>>,
  ): void;
  /** A change of what the process believes, or of its life; always written. */
  infoAlways(message: string, fields: Readonly<Record<string, unknown>>): void;
}
