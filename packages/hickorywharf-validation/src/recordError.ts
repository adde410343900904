/** Why a configuration document cannot be taken. */
export interface RecordError {
  readonly tag: 'invalid' | 'newerVersion' | 'unknownKind';
  /** Dotted path of the field inside the document. */
  readonly path: string;
  readonly message: string;
}
