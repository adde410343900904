import {readFileSync} from 'node:fs';
import {createHistoryRecorder} from 'hickorywharf-telemetry/createHistoryRecorder';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import * as z from 'zod';
import {listen} from './listen.ts';
import {standInKinds} from './standInKinds.ts';

const fileSchema = z.strictObject({
  address: z.ipv4(),
  historyFile: z.string().default(''),
  standIns: z.array(
    z.strictObject({
      name: z.string(),
      kind: z.string(),
      port: z.int(),
      workMilliseconds: z.number().default(5),
      tokenMilliseconds: z.number().default(5),
      lagMilliseconds: z.number().default(500),
      sizeMilliseconds: z.number().default(0),
      capacity: z.int().min(1).default(16),
    }),
  ),
});

/**
 * Starts the stand-ins that a JSON file lists, in this process. Rejects if the
 * file is invalid or names an unknown kind, or if a port is in use.
 *
 * @example
 *     await startStandIns('stand-ins.json');
 */
export async function startStandIns(path: string): Promise<void> {
  const file = fileSchema.parse(JSON.parse(readFileSync(path, 'utf8')));
  const clock = createSystemClock();
  for (const {kind, port, ...options} of file.standIns) {
    const create = standInKinds[kind];
    if (create === undefined) throw new Error(`no stand-in kind '${kind}'`);
    const history = createHistoryRecorder({
      process: options.name,
      file: file.historyFile,
      clock,
    });
    const application = create({...options, history});
    await listen(application, {address: file.address, port});
  }
}
