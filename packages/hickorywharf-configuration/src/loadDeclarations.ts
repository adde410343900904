import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {normalizeRecord} from 'hickorywharf-validation/normalizeRecord';
import type {Document} from './document.ts';

interface DeclarationError {
  readonly file: string;
  readonly path: string;
  readonly message: string;
}

function listFiles(directory: string): string[] {
  return readdirSync(directory, {recursive: true, encoding: 'utf8'})
    .filter((file) => file.endsWith('.json'))
    .sort()
    .map((file) => path.join(directory, file));
}

function readFile(file: string): Result<Document[], DeclarationError> {
  let json: unknown;
  try {
    json = JSON.parse(readFileSync(file, 'utf8'));
  } catch (error) {
    return err({file, path: '', message: (error as Error).message});
  }
  const documents = Array.isArray(json) ? json : [json];
  for (const [index, document] of documents.entries()) {
    const record = normalizeRecord(document);
    if (record.isErr()) {
      const {path: field, message} = record.error;
      return err({file, path: `${index}.${field}`, message});
    }
  }
  return ok(documents as Document[]);
}

/**
 * Reads the operators' declarations: every JSON file below a directory, each
 * with one record or a list of records.
 *
 * @returns the documents, or the first error with its file and field
 * @throws if the directory cannot be read
 * @example
 *     loadDeclarations('examples/lusacine').isOk(); // true
 */
export function loadDeclarations(
  directory: string,
): Result<readonly Document[], DeclarationError> {
  const documents = new Map<string, Document>();
  for (const file of listFiles(directory)) {
    const read = readFile(file);
    if (read.isErr()) return err(read.error);
    for (const document of read.value) {
      const key = `${document.kind}/${document.name}`;
      if (documents.has(key)) {
        return err({file, path: 'name', message: `'${key}' is declared twice`});
      }
      documents.set(key, document);
    }
  }
  return ok([...documents.values()]);
}
