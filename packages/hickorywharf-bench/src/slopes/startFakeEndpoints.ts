import {createPeerServer} from 'hickorywharf-transport/createPeerServer';
import {TRANSPORT_LIMITS} from 'hickorywharf-transport/transportLimits';
import type {Frame} from 'hickorywharf-types/frame';
import type {Instance} from 'hickorywharf-types/instance';

interface FakeEndpoints {
  readonly instances: readonly Instance[];
  close(): void;
}

const ADDRESS = '127.0.0.1';
const HEARTBEAT: Frame = {
  tag: 'heartbeat',
  leaving: false,
  load: {queued: 0, running: 0, capacity: 8},
  configurationSequence: 0,
};

async function startEndpoint(name: string) {
  const senders = new Set<(frame: Frame) => boolean>();
  const server = await createPeerServer({
    address: ADDRESS,
    port: 0,
    identity: {
      name,
      incarnation: name,
      role: 'endpoint',
      failureDomain: 'domain-1',
    },
    handlers: {
      onConnected: ({send}) => void senders.add(send),
      onFrame: () => undefined,
      onDisconnected: () => senders.clear(),
      onError: () => undefined,
    },
  });
  const heartbeatTimer = setInterval(() => {
    for (const send of senders) send(HEARTBEAT);
  }, TRANSPORT_LIMITS.heartbeatMilliseconds);
  return {server, heartbeatTimer};
}

/**
 * Starts fake endpoints in this process that accept connections and send only
 * heartbeats.
 *
 * @example
 *     const {instances} = await startFakeEndpoints(16);
 */
export async function startFakeEndpoints(
  count: number,
): Promise<FakeEndpoints> {
  const names = Array.from(
    {length: count},
    (_, number) => `endpoint-${number}`,
  );
  const started = await Promise.all(names.map(startEndpoint));
  return {
    instances: started.map(({server}, index) => ({
      name: names[index]!,
      role: 'endpoint',
      address: ADDRESS,
      port: server.port,
      failureDomain: 'domain-1',
      state: 'live',
    })),
    close() {
      for (const {server, heartbeatTimer} of started) {
        clearInterval(heartbeatTimer);
        server.close();
      }
    },
  };
}
