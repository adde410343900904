import {Hono} from 'hono';
import type {WorkLog} from './workLog.ts';

/** Faults that can be injected into a backend. */
interface BackendFaults {
  /** Factor that all processing times of the backend are multiplied with. */
  slowness: number;
  /** Share of calls that fail, from 0 to 1, spread evenly over the calls. */
  failureShare: number;
}

interface BackendControls {
  readonly application: Hono;
  readonly faults: BackendFaults;
  readonly workLog: WorkLog;
  /** Counts a call and returns whether it has to fail; called once a call. */
  shouldFail(): boolean;
}

/**
 * Creates the HTTP endpoints that a backend stand-in offers to tests: one sets
 * its faults, another returns the log of the work that it did.
 *
 * @example
 *     application.route('/', createBackendControls().application);
 */
export function createBackendControls(): BackendControls {
  const faults: BackendFaults = {slowness: 1, failureShare: 0};
  const workLog: WorkLog = {items: []};
  const application = new Hono();
  let dueFailures = 0;
  application.put('/v1/faults', async (context) => {
    Object.assign(faults, await context.req.json());
    return context.json(faults);
  });
  application.get('/v1/work', (context) => context.json(workLog));
  return {
    application,
    faults,
    workLog,
    shouldFail() {
      dueFailures += faults.failureShare;
      if (dueFailures < 1) return false;
      dueFailures -= 1;
      return true;
    },
  };
}
