import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {resolveWithin} from 'hickorywharf-utils/resolveWithin';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';
import {probeAddress} from './probeAddress.ts';

interface EndDetectorOptions {
  readonly state: Pick<GatewayState, 'directory' | 'endpointListeners'>;
  readonly metrics: Pick<GatewayMetrics, 'count'>;
}

interface EndDetector {
  /**
   * Finds out whether a process of an endpoint ended, after a connection to it
   * broke. Calls back with what shows it, at most once. Has no effect while an
   * earlier check of the same process is under way.
   */
  check(endpoint: GatewayEndpoint, onEnded: (proof: string) => void): void;
  /** Resolves when no address of the endpoint is probed, or after a while. */
  waitForProbe(endpoint: GatewayEndpoint): Promise<void>;
}

/**
 * How long the endpoint list is watched if a process accepts connections, which
 * may be the next one at the address.
 */
const LIST_MILLISECONDS = 3000;
/** A retry waits no longer for the result of a probe. */
const PROBE_WAIT_MILLISECONDS = 100;

const getKey = ({id, startedAt}: GatewayEndpoint): string =>
  `${id}/${startedAt}`;

/**
 * Tells the end of a process from a connection that broke for another reason:
 * nothing accepts connections at the address, or the endpoint list does not
 * have the process any more.
 *
 * @example
 *     const detector = createEndDetector({state, metrics});
 *     detector.check(endpoint, (proof) => log(proof)); // 'refused'
 */
export function createEndDetector({
  state,
  metrics,
}: EndDetectorOptions): EndDetector {
  const probes = new Map<string, Promise<void>>();

  const isListed = ({id, startedAt}: GatewayEndpoint): boolean =>
    state.directory.get(id)?.startedAt === startedAt;

  function watchList(
    endpoint: GatewayEndpoint,
    onEnded: (proof: string) => void,
  ): void {
    const finish = (hasEnded: boolean): void => {
      clearTimeout(timer);
      state.endpointListeners.delete(checkList);
      metrics.count('endpointEnds', hasEnded ? 'unlisted' : 'alive');
      if (hasEnded) onEnded('unlisted');
    };
    const checkList = (): void => {
      if (!isListed(endpoint)) finish(true);
    };
    const timer = setTimeout(() => finish(false), LIST_MILLISECONDS);
    timer.unref();
    state.endpointListeners.add(checkList);
    checkList();
  }

  return {
    check(endpoint, onEnded) {
      const key = getKey(endpoint);
      if (probes.has(key)) return;
      const probe = probeAddress(endpoint).then((result) => {
        probes.delete(key);
        const isGone = result === 'refused' || result === 'unreachable';
        if (!isGone) return watchList(endpoint, onEnded);
        metrics.count('endpointEnds', result);
        onEnded(result);
      });
      probes.set(key, probe);
    },
    async waitForProbe(endpoint) {
      const probe = probes.get(getKey(endpoint));
      if (probe === undefined) return;
      await resolveWithin(probe, {
        milliseconds: PROBE_WAIT_MILLISECONDS,
        otherwise: undefined,
      });
    },
  };
}
