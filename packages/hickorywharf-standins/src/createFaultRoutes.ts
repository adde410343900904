import {Hono} from 'hono';

/** What may be made to go wrong with a backend. */
interface BackendFaults {
  /** Factor on all times of the backend. */
  slowness: number;
  /** Share of calls that fail, spread evenly. */
  failureShare: number;
}

interface FaultRoutes {
  readonly application: Hono;
  readonly faults: BackendFaults;
  /** Whether the call that comes now is to fail. */
  takeFailure(): boolean;
}

/**
 * The HTTP call by which tests make a stand-in of a backend slow or failing.
 *
 * @example
 *     application.route('/', createFaultRoutes().application);
 */
export function createFaultRoutes(): FaultRoutes {
  const faults: BackendFaults = {slowness: 1, failureShare: 0};
  const application = new Hono();
  let due = 0;
  application.put('/v1/faults', async (context) => {
    Object.assign(faults, await context.req.json());
    return context.json(faults);
  });
  return {
    application,
    faults,
    takeFailure() {
      due += faults.failureShare;
      if (due < 1) return false;
      due -= 1;
      return true;
    },
  };
}
