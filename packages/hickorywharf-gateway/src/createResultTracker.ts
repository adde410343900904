import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {buildStageRequest} from './buildStageRequest.ts';
import type {EndpointClient} from './endpointClient.ts';
import type {GatewayLog} from './gatewayLog.ts';

interface AccountOptions {
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly log: GatewayLog;
  now(): number;
  /** An endpoint has room again. */
  onRelease(endpoint: GatewayEndpoint): void;
}

interface ResultAccount {
  /** Memory at an endpoint that results and calls under way take. */
  getAllocatedBytes(endpointId: string): number;
  /** Takes memory for a call; gives how to return it. */
  reserve(endpointId: string, bytes: number): () => void;
  /** Notes a result until it is freed or its time is over. */
  add(
    handle: string,
    endpoint: GatewayEndpoint,
    bytes: number,
    keepMilliseconds: number,
  ): void;
  free(handles: readonly string[]): void;
  /** Frees results that another instance had made. */
  freeAt(endpoint: GatewayEndpoint, handles: readonly string[]): void;
  /** Forgets results that their makers keep no longer. */
  dropExpired(): void;
}

interface HeldResult {
  readonly endpoint: GatewayEndpoint;
  readonly bytes: number;
  readonly expiresAt: number;
}

/** Results of one maker that are given up. */
interface LeavingResults {
  readonly endpoint: GatewayEndpoint;
  readonly handles: string[];
  bytes: number;
}

/** Frees of one maker that come within this time share a call. */
const FREE_DELAY_MILLISECONDS = 10;

/**
 * Which results lie at which endpoint, and how much memory they take there.
 * Memory counts as free only when its endpoint has said so.
 *
 * @example
 *     const account = createResultTracker(options);
 *     account.add('h', endpoint, 3000000, 4000);
 *     account.free(['h']);
 */
export function createResultTracker(options: AccountOptions): ResultAccount {
  const {wire, endpointClient: endpointClient, log, now, onRelease} = options;
  const heldBytes = new Map<string, number>();
  const held = new Map<string, HeldResult>();
  const leaving = new Map<string, LeavingResults>();

  function change(endpointId: string, bytes: number): void {
    heldBytes.set(endpointId, (heldBytes.get(endpointId) ?? 0) + bytes);
  }

  function release(endpoint: GatewayEndpoint, bytes: number): void {
    change(endpoint.id, -bytes);
    onRelease(endpoint);
  }

  function leave(
    endpoint: GatewayEndpoint,
    handle: string,
    bytes: number,
  ): void {
    const waiting = leaving.get(endpoint.id);
    if (waiting !== undefined) {
      waiting.handles.push(handle);
      waiting.bytes += bytes;
      return;
    }
    const entry = {endpoint, handles: [handle], bytes};
    leaving.set(endpoint.id, entry);
    setTimeout(() => {
      leaving.delete(endpoint.id);
      sendFree(entry, false);
    }, FREE_DELAY_MILLISECONDS);
  }

  /** Frees may be repeated; a kept connection may have been closed meanwhile. */
  function sendFree(entry: LeavingResults, isRepeat: boolean): void {
    const {endpoint, handles, bytes} = entry;
    const body = wire.formatFree(handles);
    endpointClient.send({
      ...buildStageRequest(wire, endpoint, wire.stageFree, body),
      needsNewConnection: isRepeat,
      onHead: () => undefined,
      onData: () => undefined,
      onEnd: () => release(endpoint, bytes),
      onFailure({message}) {
        if (!isRepeat) {
          sendFree(entry, true);
          return;
        }
        log.infoRateLimited('results not freed', {
          step: 'stage',
          peer: endpoint.id,
          handles: handles.length,
          reason: message,
        });
        release(endpoint, bytes);
      },
    });
  }

  return {
    getAllocatedBytes: (endpointId) => heldBytes.get(endpointId) ?? 0,
    reserve(endpointId, bytes) {
      change(endpointId, bytes);
      return () => change(endpointId, -bytes);
    },
    add(handle, endpoint, bytes, keepMilliseconds) {
      const expiresAt = now() + keepMilliseconds;
      held.set(handle, {endpoint, bytes, expiresAt});
      change(endpoint.id, bytes);
    },
    free(handles) {
      for (const handle of handles) {
        const result = held.get(handle);
        if (result === undefined) continue;
        held.delete(handle);
        leave(result.endpoint, handle, result.bytes);
      }
    },
    freeAt(endpoint, handles) {
      for (const handle of handles) leave(endpoint, handle, 0);
    },
    dropExpired() {
      const time = now();
      for (const [handle, {endpoint, bytes, expiresAt}] of held) {
        if (expiresAt > time) break;
        held.delete(handle);
        release(endpoint, bytes);
      }
    },
  };
}
