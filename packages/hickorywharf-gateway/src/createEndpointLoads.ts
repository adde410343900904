interface EndpointLoad {
  /** Calls of this instance in flight at the endpoint. */
  running: number;
  /** Tokens to be read of the calls that have no first event yet. */
  pendingTokens: number;
  /** Prompt tokens of all these calls. */
  memoryTokens: number;
}

interface EndpointLoads {
  /** The load of an endpoint; zero if it has no call in flight. */
  get(id: string): Readonly<EndpointLoad>;
  /**
   * Counts a call; the functions returned record its first event and its end.
   * Further calls of them have no effect.
   *
   * @param uncachedTokens tokens that the endpoint still has to read; by
   *     default those of the whole prompt
   */
  startCall(
    id: string,
    promptTokens: number,
    uncachedTokens?: number,
  ): {recordPrefillDone(): void; end(): void};
}

/**
 * Counts the calls that this instance has in flight at each endpoint. Unlike
 * load reports of endpoints, these counts are never stale.
 *
 * @example
 *     const loads = createEndpointLoads();
 *     const call = loads.startCall('engine-1', 1460);
 *     loads.get('engine-1'); // {running: 1, pendingTokens: 1460, memoryTokens: 1460}
 *     call.recordPrefillDone();
 *     call.end();
 */
export function createEndpointLoads(): EndpointLoads {
  const loads = new Map<string, EndpointLoad>();
  const idle: EndpointLoad = {running: 0, pendingTokens: 0, memoryTokens: 0};
  return {
    get: (id) => loads.get(id) ?? idle,
    startCall(id, promptTokens, uncachedTokens = promptTokens) {
      const load = loads.get(id) ?? {...idle};
      loads.set(id, load);
      load.running += 1;
      load.pendingTokens += uncachedTokens;
      load.memoryTokens += promptTokens;
      let isPending = true;
      let isRunning = true;
      const recordPrefillDone = (): void => {
        if (!isPending) return;
        isPending = false;
        load.pendingTokens -= uncachedTokens;
      };
      return {
        recordPrefillDone,
        end() {
          recordPrefillDone();
          if (!isRunning) return;
          isRunning = false;
          load.running -= 1;
          load.memoryTokens -= promptTokens;
          if (load.running === 0) loads.delete(id);
        },
      };
    },
  };
}
