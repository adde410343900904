import {Hono} from 'hono';
import type {WorkLog} from './workLog.ts';

/** What may be made to go wrong with a backend. */
interface BackendFaults {
  /** Factor on all times of the backend. */
  slowness: number;
  /** Share of calls that fail, spread evenly. */
  failureShare: number;
}

interface BackendControls {
  readonly application: Hono;
  readonly faults: BackendFaults;
  readonly workLog: WorkLog;
  /** Whether the call that comes now is to fail. */
  takeFailure(): boolean;
}

/**
 * The HTTP calls by which tests make a stand-in of a backend slow or failing,
 * and read the work that it did.
 *
 * @example
 *     application.route('/', createBackendControls().application);
 */
export function createBackendControls(): BackendControls {
  const faults: BackendFaults = {slowness: 1, failureShare: 0};
  const workLog: WorkLog = {items: []};
  const application = new Hono();
  let due = 0;
  application.put('/v1/faults', async (context) => {
    Object.assign(faults, await context.req.json());
    return context.json(faults);
  });
  application.get('/v1/work', (context) => context.json(workLog));
  return {
    application,
    faults,
    workLog,
    takeFailure() {
      due += faults.failureShare;
      if (due < 1) return false;
      due -= 1;
      return true;
    },
  };
}
