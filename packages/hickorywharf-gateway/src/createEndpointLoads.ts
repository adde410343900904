interface EndpointLoad {
  /** Calls of this instance that run there. */
  running: number;
  /** Prompt tokens that were sent there and have no first event yet. */
  pendingTokens: number;
}

interface EndpointLoads {
  get(id: string): Readonly<EndpointLoad>;
  /** Notes a call; gives how to note its first event and its end. */
  begin(id: string, tokens: number): {recordPrefillDone(): void; ended(): void};
}

/**
 * What this instance itself has under way at each endpoint, which no report
 * can lag behind.
 *
 * @example
 *     const running = loads.begin('engine-1', 1460);
 *     running.started();
 *     running.ended();
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
      const started = (): void => {
        if (!isPending) return;
        isPending = false;
        load.pendingTokens -= tokens;
      };
      return {
        recordPrefillDone: started,
        ended() {
          started();
          if (!isRunning) return;
          isRunning = false;
          load.running -= 1;
          if (load.running === 0) loads.delete(id);
        },
      };
    },
  };
}
