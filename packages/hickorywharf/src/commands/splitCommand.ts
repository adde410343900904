import {readdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {isDeepStrictEqual} from 'node:util';
import {assignHalves} from 'hickorywharf-configuration/assignHalves';
import type {Document} from 'hickorywharf-configuration/document';
import {loadDeclarations} from 'hickorywharf-configuration/loadDeclarations';
import {splitAssignment} from 'hickorywharf-validation/splitAssignment';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';

const INDENT_SPACES = 2;

function reportFailure(message: string): number {
  console.error(`hickorywharf: ${message}`);
  return exitCodes.failed;
}

function readJson(file: string): unknown {
  return JSON.parse(readFileSync(file, 'utf8'));
}

/** Rewrites the files whose documents changed and returns their paths. */
function rewrite(directory: string, assigned: readonly Document[]): string[] {
  const byKey = new Map(
    assigned.map((document) => [`${document.kind}/${document.name}`, document]),
  );
  const files = readdirSync(directory, {recursive: true, encoding: 'utf8'})
    .filter((file) => file.endsWith('.json'))
    .map((file) => path.join(directory, file));
  return files.filter((file) => {
    const json = readJson(file);
    const documents = (Array.isArray(json) ? json : [json]) as Document[];
    const updated = documents.map(({kind, name}) =>
      byKey.get(`${kind}/${name}`)!,
    );
    if (isDeepStrictEqual(documents, updated)) return false;
    const written = Array.isArray(json) ? updated : updated[0];
    writeFileSync(file, `${JSON.stringify(written, null, INDENT_SPACES)}\n`);
    return true;
  });
}

/** `hickorywharf split FILE DIRECTORY`: assigns declarations to halves. */
export const splitCommand: Command = {
  summary: 'writes an assignment to halves into the declarations',
  positionals: ['FILE', 'DIRECTORY'],
  options: {},
  optionHelp: {},
  async run({positionals}) {
    const [file, directory] = positionals as [string, string];
    let json: unknown;
    try {
      json = readJson(file);
    } catch (error) {
      return reportFailure(`${file}: ${(error as Error).message}`);
    }
    const assignment = splitAssignment.safeParse(json);
    if (!assignment.success) {
      const issue = assignment.error.issues[0]!;
      return reportFailure(
        `${file}: ${issue.path.join('.')}: ${issue.message}`,
      );
    }
    const declared = loadDeclarations(directory);
    if (declared.isErr()) {
      const {file: declaredIn, path: field, message} = declared.error;
      return reportFailure(`${declaredIn}: ${field}: ${message}`);
    }
    const assigned = assignHalves(declared.value, assignment.data);
    if (assigned.isErr()) return reportFailure(`${file}: ${assigned.error}`);
    const written = rewrite(directory, assigned.value);
    for (const name of written) console.log(`wrote ${name}`);
    console.log(
      `${written.length} files changed; review the difference, then run: hickorywharf plan ${directory}`,
    );
    return exitCodes.succeeded;
  },
};
