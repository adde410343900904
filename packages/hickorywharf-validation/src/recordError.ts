/** Why a configuration document was refused. */
export interface RecordError {
  readonly tag: 'invalid' | 'newerVersion' | 'unknownKind';
  /** Dotted path of the invalid field; empty for the document as a whole. */
  readonly path: string;
  readonly message: string;
}
