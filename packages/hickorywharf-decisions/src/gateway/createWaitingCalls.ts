/** Times are monotonic milliseconds. */
interface WaitingCalls {
  /**
   * Counts a call as waiting for its answer from a process until the function
   * returned is called.
   */
  start(process: string, call: WaitingCall): () => void;
  /** The calls that wait for answers from a process. */
  list(process: string): readonly WaitingCall[];
}

interface WaitingCall {
  readonly requestId: string;
  readonly parts: readonly string[];
  /** Names the request as a whole. */
  readonly getRequest: () => string;
  readonly sentAt: number;
}

/**
 * Tracks the calls that wait for their answers, by the endpoint's process.
 *
 * @example
 *     const calls = createWaitingCalls();
 *     const end = calls.start('engine-1/17', {requestId: '9c41', parts, getRequest, sentAt});
 *     calls.list('engine-1/17').length; // 1
 *     end();
 */
export function createWaitingCalls(): WaitingCalls {
  const processes = new Map<string, Set<WaitingCall>>();
  return {
    start(process, call) {
      const calls = processes.get(process) ?? new Set();
      processes.set(process, calls);
      calls.add(call);
      return () => {
        calls.delete(call);
        if (calls.size === 0 && processes.get(process) === calls) {
          processes.delete(process);
        }
      };
    },
    list: (process) => [...(processes.get(process) ?? [])],
  };
}
