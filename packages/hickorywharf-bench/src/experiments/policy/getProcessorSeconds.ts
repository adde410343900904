import {readFileSync} from 'node:fs';
import type {startDeployment} from '../../deployment/startDeployment.ts';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

const TICKS_PER_SECOND = 100;
const MICROSECONDS_PER_SECOND = 1e6;
/** Field indexes in /proc/PID/stat after the name, which may have spaces. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

function readSeconds(identifier: number): number {
  try {
    const text = readFileSync(`/proc/${identifier}/stat`, 'utf8');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
    return ticks / TICKS_PER_SECOND;
  } catch {
    return 0;
  }
}

/**
 * Returns the processor time used so far by each process of a deployment and by
 * the load generator, in seconds; 0 for a process that has exited. Reports show
 * with it that the machine itself does not saturate.
 *
 * @example
 *     getProcessorSeconds(deployment).get('entry-1');
 */
export function getProcessorSeconds(
  deployment: Deployment,
): Map<string, number> {
  const seconds = new Map<string, number>();
  for (const [name, {processId: identifier}] of deployment.processes) {
    seconds.set(name, readSeconds(identifier));
  }
  const {user, system} = process.cpuUsage();
  seconds.set('load tool', (user + system) / MICROSECONDS_PER_SECOND);
  return seconds;
}
