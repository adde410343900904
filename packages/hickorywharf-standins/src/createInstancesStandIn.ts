import {Hono} from 'hono';
import type {Instance} from 'hickorywharf-types/instance';
import {sleep} from 'hickorywharf-utils/sleep';

/**
 * Creates a stand-in of the platform's list of instances, which applies each
 * change with a delay.
 *
 * @param lagMilliseconds time until a change shows in the list
 * @example
 *     createInstancesStandIn(500);
 */
export function createInstancesStandIn(lagMilliseconds: number): Hono {
  const instances = new Map<string, Instance>();
  const application = new Hono();

  async function applyLater(change: () => void): Promise<void> {
    await sleep(lagMilliseconds);
    change();
  }

  application.get('/v1/instances', (context) =>
    context.json({instances: [...instances.values()]}),
  );
  application.put('/v1/instances/:name', async (context) => {
    const instance = await context.req.json<Instance>();
    void applyLater(() => instances.set(instance.name, instance));
    return context.json({});
  });
  application.delete('/v1/instances/:name', (context) => {
    const name = context.req.param('name');
    void applyLater(() => instances.delete(name));
    return context.json({});
  });
  return application;
}
