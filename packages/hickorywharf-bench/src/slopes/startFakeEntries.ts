import {createPeerClient} from 'hickorywharf-transport/createPeerClient';
import {TRANSPORT_LIMITS} from 'hickorywharf-transport/transportLimits';
import type {Frame} from 'hickorywharf-types/frame';

interface FakeEntries {
  close(): void;
}

interface FakeEntriesOptions {
  readonly count: number;
  readonly address: string;
  readonly port: number;
}

const HEARTBEAT: Frame = {
  tag: 'heartbeat',
  leaving: false,
  load: null,
  configurationSequence: 0,
};

function startEntry(name: string, options: FakeEntriesOptions) {
  const {address, port} = options;
  let send: ((frame: Frame) => boolean) | null = null;
  const client = createPeerClient({
    name: 'measured',
    address,
    port,
    identity: {
      name,
      incarnation: name,
      role: 'entry',
      failureDomain: 'domain-1',
    },
    random: () => 0,
    handlers: {
      onConnected({send: opened}) {
        send = opened;
      },
      onFrame: () => undefined,
      onDisconnected() {
        send = null;
      },
      onError: () => undefined,
    },
  });
  const heartbeatTimer = setInterval(
    () => send?.(HEARTBEAT),
    TRANSPORT_LIMITS.heartbeatMilliseconds,
  );
  return {client, heartbeatTimer};
}

/**
 * Starts fake entries in this process that connect to an endpoint and send only
 * heartbeats.
 *
 * @example
 *     startFakeEntries({count: 8, address: '127.0.0.1', port}).close();
 */
export function startFakeEntries(options: FakeEntriesOptions): FakeEntries {
  const started = Array.from({length: options.count}, (_, number) =>
    startEntry(`entry-${number}`, options),
  );
  return {
    close() {
      for (const {client, heartbeatTimer} of started) {
        clearInterval(heartbeatTimer);
        client.close();
      }
    },
  };
}
