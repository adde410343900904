/** Structured log lines, one for each decision or change of state. */
export interface GatewayLog {
  /** For decisions about requests; lines beyond the rate limit are dropped. */
  infoRateLimited(
    message: string,
    fields: Readonly<Record<string, unknown>>,
  ): void;
  /** For changes of state and lifecycle events; always written. */
  infoAlways(message: string, fields: Readonly<Record<string, unknown>>): void;
}
