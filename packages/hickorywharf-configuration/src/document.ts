/** A record as the operator wrote it, before it is normalized. */
export type Document = Readonly<Record<string, unknown>> & {
  readonly kind: string;
  readonly name: string;
};
