import {Hono} from 'hono';
import type {Instance} from 'hickorywharf-types/instance';
import {sleep} from 'hickorywharf-utils/sleep';

/**
 * A stand-in of the platform's list of instances, which lags behind what it is
 * told.
 *
 * @param lagMilliseconds time until a change can be seen
 * @example
 *     createInstancesStandIn(500);
 */
export function createInstancesStandIn(lagMilliseconds: number): Hono {
  const instances = new Map<string, Instance>();
  const application = new Hono();

  async function changeLater(change: () => void): Promise<void> {
    await sleep(lagMilliseconds);
    change();
  }

  application.get('/v1/instances', (context) =>
    context.json({instances: [...instances.values()]}),
  );
  application.put('/v1/instances/:name', async (context) => {
    const instance = await context.req.json<Instance>();
    void changeLater(() => instances.set(instance.name, instance));
    return context.json({});
  });
  application.delete('/v1/instances/:name', (context) => {
    const name = context.req.param('name');
    void changeLater(() => instances.delete(name));
    return context.json({});
  });
  return application;
}
