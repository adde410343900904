import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import type {TlsCredentials} from './tlsCredentials.ts';
import type {TransportError} from './transportError.ts';

interface TlsFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
  readonly authorityFile: string;
}

/**
 * Reads the files of the `tls` section of the settings.
 *
 * @returns null if the section is empty: connections between processes then use
 *   plain TCP
 * @example
 *     loadTlsCredentials(settings.tls);
 */
export function loadTlsCredentials(
  files: TlsFiles,
): Result<TlsCredentials | null, TransportError> {
  if (files.certificateFile === '') return ok(null);
  try {
    return ok({
      certificate: readFileSync(files.certificateFile, 'utf8'),
      key: readFileSync(files.keyFile, 'utf8'),
      authority: readFileSync(files.authorityFile, 'utf8'),
    });
  } catch (error) {
    return err({
      tag: 'secureConnection',
      step: 'connect',
      peer: '',
      message: `[tls] a file cannot be read: ${(error as Error).message}`,
    });
  }
}
