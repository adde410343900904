interface EndpointLoad {
  /** Calls of this instance in flight at the endpoint. */
  running: number;
  /** Prompt tokens of the calls that have no first event yet. */
  pendingTokens: number;
}

interface EndpointLoads {
  get(id: string): Readonly<EndpointLoad>;
  /** Counts a call; the result reports its first event and its end. */
  begin(id: string, tokens: number): {recordPrefillDone(): void; ended(): void};
}

/**
 * Counts the calls that this instance has in flight at each endpoint. Unlike
 * load reports of endpoints, these counts are never stale.
 *
 * @example
 *     const loads = createEndpointLoads();
 *     const call = loads.begin('engine-1', 1460);
 *     call.recordPrefillDone();
 *     call.ended();
 */
export function createEndpointLoads(): EndpointLoads {
  const loads = new Map<string, EndpointLoad>();
  const idle: EndpointLoad = {running: 0, pendingTokens: 0};
  return {
    get: (id) => loads.get(id) ?? idle,
    begin(id, tokens) {
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
        ended() {
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
