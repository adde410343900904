import {createInstancesStandIn} from 'hickorywharf-standins/createInstancesStandIn';
import {createStoreStandIn} from 'hickorywharf-standins/createStoreStandIn';
import {listen} from 'hickorywharf-standins/listen';
import type {Instance} from 'hickorywharf-types/instance';
import {request} from 'undici';

interface FakePlatform {
  readonly storeUrl: string;
  readonly instancesUrl: string;
  /** Calls of the store so far, by kind. */
  readonly calls: Readonly<Record<string, number>>;
  /** Adds an instance to the list. */
  list(instance: Instance): Promise<void>;
  close(): void;
}

const ADDRESS = '127.0.0.1';

/**
 * Starts stand-ins of the platform's store and instance list in this process.
 * Changes of the list show without delay.
 *
 * @example
 *     const platform = await startFakePlatform();
 */
export async function startFakePlatform(): Promise<FakePlatform> {
  const anyPort = {address: ADDRESS, port: 0};
  const standIn = createStoreStandIn();
  const store = await listen(standIn.application, anyPort);
  const instances = await listen(createInstancesStandIn(0), anyPort);
  const instancesUrl = `http://${ADDRESS}:${instances.port}/v1/instances`;
  return {
    storeUrl: `http://${ADDRESS}:${store.port}`,
    instancesUrl,
    calls: standIn.calls,
    async list(instance) {
      const {body} = await request(`${instancesUrl}/${instance.name}`, {
        method: 'PUT',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(instance),
      });
      await body.dump();
    },
    close() {
      store.close();
      instances.close();
    },
  };
}
