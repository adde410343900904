import {createEntryTelemetry} from 'hickorywharf-entry/createEntryTelemetry';
import {runEntry} from 'hickorywharf-entry/runEntry';
import {createRoleCommand} from '../createRoleCommand.ts';

/** `hickorywharf entry`: runs an entry, which receives callers' requests. */
export const entryCommand = createRoleCommand({
  role: 'entry',
  summary: "runs an entry, which takes callers' requests",
  start: ({telemetry, ...context}) =>
    runEntry({...context, telemetry: createEntryTelemetry(telemetry)}),
});
