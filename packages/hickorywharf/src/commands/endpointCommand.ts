import {createEndpointTelemetry} from 'hickorywharf-endpoint/createEndpointTelemetry';
import {runEndpoint} from 'hickorywharf-endpoint/runEndpoint';
import {createRoleCommand} from '../createRoleCommand.ts';

/** `hickorywharf endpoint`: runs an endpoint process, beside its backend. */
export const endpointCommand = createRoleCommand({
  role: 'endpoint',
  summary: 'runs the process beside an endpoint',
  start: ({telemetry, ...context}) =>
    runEndpoint({...context, telemetry: createEndpointTelemetry(telemetry)}),
});
