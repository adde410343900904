/** An operator's document: a record in the form that the operator wrote. */
export type Document = Readonly<Record<string, unknown>> & {
  readonly kind: string;
  readonly name: string;
};
