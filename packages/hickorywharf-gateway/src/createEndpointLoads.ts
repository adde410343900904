interface EndpointLoad {
  /** Calls of this instance in flight at the endpoint. */
  running: number;
  /** Prompt tokens of the calls that have no first event yet. */
  pendingTokens: number;
}

interface EndpointLoads {
  /** The load of an endpoint; zero if it has no call in flight. */
  get(id: string): Readonly<EndpointLoad>;
  /**
   * Counts a call with its prompt tokens; the functions returned record its
   * first event and its end. Further calls of them have no effect.
   */
  startCall(
    id: string,
    tokens: number,
  ): {recordPrefillDone(): void; end(): void};
}

/**
 * Counts the calls that this instance has in flight at each endpoint. Unlike
 * load reports of endpoints, these counts are never stale.
 *
 * @example
 *     const loads = createEndpointLoads();
 *     const call = loads.startCall('engine-1', 1460);
 *     loads.get('engine-1'); // {running: 1, pendingTokens: 1460}
 *     call.recordPrefillDone();
 *     call.end();
 */
export function createEndpointLoads(): EndpointLoads {
  const loads = new Map<string, EndpointLoad>();
  const idle: EndpointLoad = {running: 0, pendingTokens: 0};
  return {
    get: (id) => loads.get(id) ?? idle,
    startCall(id, tokens) {
      const load = loads.get(id) ?? {running: 0, pendingTokens: 0};
      loads.set(id, load);
      load.running += 1;
      load.pendingTokens += tokens;
      let isPending = true;
      let isRunning = true;
      const recordPrefillDone = (): void => {
        if (!isPending) return;
        isPending = false;
        load.pendingTokens -= tokens;
      };
      return {
        recordPrefillDone,
        end() {
          recordPrefillDone();
          if (!isRunning) return;
          isRunning = false;
          load.running -= 1;
          if (load.running === 0) loads.delete(id);
        },
      };
    },
  };
}
