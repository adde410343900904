import {Hono} from 'hono';
import type {WorkLog} from './workLog.ts';

/**
 * Serves the work log of all the stand-ins of a process.
 *
 * @example
 *     createWorkLogRoutes({items: []});
 */
export function createWorkLogRoutes(workLog: WorkLog): Hono {
  const application = new Hono();
  application.get('/v1/work', (context) =>
    context.json({items: workLog.items}),
  );
  return application;
}
