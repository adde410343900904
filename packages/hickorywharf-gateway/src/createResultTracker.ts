import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {buildStageRequest} from './buildStageRequest.ts';
import type {createEndpointLimiter} from './createEndpointLimiter.ts';
import type {EndpointClient} from './endpointClient.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';

interface TrackerOptions {
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Monotonic milliseconds. */
  now(): number;
  readonly limiter: Pick<
    ReturnType<typeof createEndpointLimiter>,
    'getWait' | 'getPause' | 'isWithdrawn' | 'reserve' | 'recordAvailability'
  >;
  /** Whether the incarnation of the endpoint said that it leaves. */
  isLeaving(endpoint: GatewayEndpoint): boolean;
  /** Whether the failure domain of the endpoint is evacuated. */
  isEvacuated(endpoint: GatewayEndpoint): boolean;
  /** Called when memory of an endpoint is free again. */
  onRelease(endpoint: GatewayEndpoint): void;
}

interface ResultTracker {
  /**
   * Bytes at an endpoint that reservations and results take, including results
   * whose release is not confirmed yet.
   */
  getAllocatedBytes(endpointId: string): number;
  /**
   * Reserves memory for the results of a call.
   *
   * @returns a function that cancels the reservation; call it once
   */
  reserve(endpointId: string, bytes: number): () => void;
  /** Whether a result is tracked. */
  has(handle: string): boolean;
  /** Tracks a result until it is freed or its time to live ends. */
  add(
    handle: string,
    endpoint: GatewayEndpoint,
    bytes: number,
    keepMilliseconds: number,
  ): void;
  /** Frees tracked results; unknown handles are ignored. */
  free(handles: readonly string[]): void;
  /** Frees results that a peer's dispatcher tracked, not this instance. */
  freeAt(endpoint: GatewayEndpoint, handles: readonly string[]): void;
  /**
   * Stops tracking results that their endpoints have dropped by now. Checks
   * results in the order of `add`, up to the first that has not expired.
   */
  dropExpired(): void;
}

interface TrackedResult {
  readonly endpoint: GatewayEndpoint;
  readonly bytes: number;
  /** Monotonic milliseconds. */
  readonly expiresAt: number;
}

/** Results of one endpoint that the next call frees. */
interface PendingFree {
  readonly endpoint: GatewayEndpoint;
  readonly handles: string[];
  bytes: number;
  /**
   * When the last of the results expires, in monotonic milliseconds; -Infinity
   * where only a peer knows.
   */
  expiresAt: number;
}

/** The endpoint turned the release away. */
const UNAVAILABLE = 503;
/** Results of one endpoint that are freed within this time share a call. */
const FREE_DELAY_MILLISECONDS = 10;
/**
 * The longest that the rate limit of an endpoint delays a free, and so adds to
 * the results that share a call.
 */
const MAXIMUM_FREE_DELAY_MILLISECONDS = 1000;
/** Time for a whole response to a call that frees results. */
const FREE_TIMEOUT_MILLISECONDS = 1000;
/** The response needs no body; one is skipped. */
const MAXIMUM_FREE_RESPONSE_BYTES = 16_384;

/**
 * Tracks which endpoint holds which results, and how much memory these take.
 * Memory counts as free only when the endpoint has confirmed the release, when
 * the release has failed twice, or when the result's time to live has ended. An
 * endpoint that leaves gets no release: its results expire, and as it gets no
 * more calls, their memory counts for nothing. One that wants no calls for a
 * while gets the release after that, unless the results expire before. One in an
 * evacuated failure domain gets none either, but may get calls before the
 * results expire: their memory counts until then.
 *
 * @example
 *     const tracker = createResultTracker(options);
 *     tracker.add('h', endpoint, 3000000, 4000);
 *     tracker.free(['h']);
 *     tracker.getAllocatedBytes(endpoint.id); // 3000000 until it is confirmed
 */
export function createResultTracker(options: TrackerOptions): ResultTracker {
  const {wire, endpointClient, limiter, log, metrics, now, onRelease} = options;
  const allocatedBytes = new Map<string, number>();
  const results = new Map<string, TrackedResult>();
  const pendingFrees = new Map<string, PendingFree>();

  function addBytes(endpointId: string, bytes: number): void {
    allocatedBytes.set(
      endpointId,
      (allocatedBytes.get(endpointId) ?? 0) + bytes,
    );
  }

  function release(endpoint: GatewayEndpoint, bytes: number): void {
    addBytes(endpoint.id, -bytes);
    onRelease(endpoint);
  }

  function scheduleFree(
    endpoint: GatewayEndpoint,
    handle: string,
    bytes: number,
    expiresAt: number,
  ): void {
    const key = `${endpoint.id}/${endpoint.startedAt}`;
    const waiting = pendingFrees.get(key);
    if (waiting !== undefined) {
      waiting.handles.push(handle);
      waiting.bytes += bytes;
      waiting.expiresAt = Math.max(waiting.expiresAt, expiresAt);
      return;
    }
    const entry = {endpoint, handles: [handle], bytes, expiresAt};
    pendingFrees.set(key, entry);
    const delay = Math.min(
      Math.max(FREE_DELAY_MILLISECONDS, limiter.getWait(endpoint)),
      MAXIMUM_FREE_DELAY_MILLISECONDS,
    );
    const sendLater = (milliseconds: number): void =>
      void setTimeout(() => {
        const pause = limiter.getPause(endpoint);
        if (pause > 0 && now() + pause < entry.expiresAt) {
          sendLater(pause);
          return;
        }
        pendingFrees.delete(key);
        sendFree(entry, false);
      }, milliseconds);
    sendLater(delay);
  }

  /** Leaves the results to their expiry; the endpoint is sent no release. */
  function drop({endpoint, handles}: PendingFree, reason: string): void {
    metrics.count('releases', reason);
    log.infoRateLimited('stage results left to expire', {
      step: 'stage',
      peer: endpoint.id,
      handles: handles.length,
      reason,
    });
  }

  /**
   * Retries once on a new connection: freeing is idempotent, and the endpoint
   * may have closed a pooled connection.
   */
  function sendFree(entry: PendingFree, isRetry: boolean): void {
    const {endpoint, handles, bytes, expiresAt} = entry;
    if (options.isLeaving(endpoint)) {
      drop(entry, 'leaving');
      release(endpoint, bytes);
      return;
    }
    const dropUntilExpiry = (reason: string): void => {
      drop(entry, reason);
      const timeLeft = Math.max(0, expiresAt - now());
      setTimeout(() => release(endpoint, bytes), timeLeft).unref();
    };
    if (options.isEvacuated(endpoint)) return dropUntilExpiry('evacuated');
    if (limiter.getPause(endpoint) > 0) return dropUntilExpiry('paused');
    let isTurnedAway = false;
    limiter.reserve(endpoint);
    const body = wire.formatFree(handles);
    let receivedBytes = 0;

    function fail(message: string): void {
      clearTimeout(timer);
      exchange.abort();
      if (!isRetry) {
        sendFree(entry, true);
        return;
      }
      metrics.count('releases', 'failed');
      log.infoRateLimited('failed to free stage results', {
        step: 'stage',
        peer: endpoint.id,
        handles: handles.length,
        reason: message,
      });
      release(endpoint, bytes);
    }

    const timer = setTimeout(
      () => fail(`no response within ${FREE_TIMEOUT_MILLISECONDS} ms`),
      FREE_TIMEOUT_MILLISECONDS,
    );
    const exchange = endpointClient.send({
      ...buildStageRequest(wire, endpoint, wire.stageFree, body),
      needsNewConnection: isRetry,
      mayStillSend: () => !limiter.isWithdrawn(endpoint),
      onHead(head) {
        isTurnedAway = head.status === UNAVAILABLE;
        limiter.recordAvailability(endpoint, head);
      },
      onData(chunk) {
        receivedBytes += chunk.length;
        if (receivedBytes > MAXIMUM_FREE_RESPONSE_BYTES) {
          fail(
            `the response is longer than ${MAXIMUM_FREE_RESPONSE_BYTES} bytes`,
          );
        }
      },
      onEnd() {
        clearTimeout(timer);
        if (isTurnedAway) return dropUntilExpiry('turnedAway');
        metrics.count('releases', 'answered');
        release(endpoint, bytes);
      },
      onFailure: ({message}) => fail(message),
    });
  }

  return {
    getAllocatedBytes: (endpointId) => allocatedBytes.get(endpointId) ?? 0,
    reserve(endpointId, bytes) {
      addBytes(endpointId, bytes);
      return () => addBytes(endpointId, -bytes);
    },
    has: (handle) => results.has(handle),
    add(handle, endpoint, bytes, keepMilliseconds) {
      // An endpoint that reports a result twice holds it once.
      if (results.has(handle)) return;
      const expiresAt = now() + keepMilliseconds;
      results.set(handle, {endpoint, bytes, expiresAt});
      addBytes(endpoint.id, bytes);
    },
    free(handles) {
      for (const handle of handles) {
        const result = results.get(handle);
        if (result === undefined) continue;
        results.delete(handle);
        const {endpoint, bytes, expiresAt} = result;
        scheduleFree(endpoint, handle, bytes, expiresAt);
      }
    },
    freeAt(endpoint, handles) {
      for (const handle of handles) {
        scheduleFree(endpoint, handle, 0, -Infinity);
      }
    },
    dropExpired() {
      const time = now();
      for (const [handle, {endpoint, bytes, expiresAt}] of results) {
        if (expiresAt > time) break;
        results.delete(handle);
        release(endpoint, bytes);
      }
    },
  };
}
