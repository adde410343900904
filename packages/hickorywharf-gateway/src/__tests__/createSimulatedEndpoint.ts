import type {PieceOutcome} from 'hickorywharf-types/gateway/pieceOutcome';

interface SimulatedCall {
  readonly pieces: number;
  isAborted: boolean;
  finish(outcomes: readonly PieceOutcome[]): void;
}

interface EndpointOptions {
  readonly callMilliseconds: number;
  readonly pieceMilliseconds: number;
  /** Results that its memory holds. */
  readonly capacity: number;
  /** How long a result is kept that nobody frees. */
  readonly keepMilliseconds: number;
}

interface SimulatedEndpoint {
  /** Takes a call for pieces; the function returned closes its connection. */
  run(
    pieces: number,
    onOutcomes: (outcomes: readonly PieceOutcome[]) => void,
  ): () => void;
  free(handles: readonly string[]): void;
  /** Fills the memory with results that nobody frees. */
  fill(): void;
}

/**
 * Simulates an endpoint of a stage: one call at a time, pieces that find no
 * memory are rejected at once, and a call that has begun goes on when its
 * connection is closed, with results that take memory until they expire.
 *
 * @example
 *     const endpoint = createSimulatedEndpoint(options);
 *     endpoint.run(4, (outcomes) => outcomes.length); // 4, after their time
 */
export function createSimulatedEndpoint(
  options: EndpointOptions,
): SimulatedEndpoint {
  const {capacity, keepMilliseconds} = options;
  const held = new Set<string>();
  const queue: SimulatedCall[] = [];
  let isBusy = false;
  let handles = 0;

  function hold(): string {
    handles += 1;
    const handle = `h${handles}`;
    held.add(handle);
    setTimeout(() => held.delete(handle), keepMilliseconds).unref();
    return handle;
  }

  function start(): void {
    const call = queue.shift();
    if (isBusy || call === undefined) return;
    if (call.isAborted) return start();
    isBusy = true;
    const outcomes = Array.from({length: call.pieces}, (): PieceOutcome =>
      held.size < capacity ? {tag: 'made', handle: hold()} : {tag: 'noRoom'},
    );
    const made = outcomes.filter(({tag}) => tag === 'made').length;
    const duration =
      made === 0
        ? 0
        : options.callMilliseconds + made * options.pieceMilliseconds;
    setTimeout(() => {
      isBusy = false;
      if (!call.isAborted) call.finish(outcomes);
      start();
    }, duration);
  }

  return {
    run(pieces, onOutcomes) {
      const call = {pieces, isAborted: false, finish: onOutcomes};
      queue.push(call);
      start();
      return () => void (call.isAborted = true);
    },
    free(freed) {
      for (const handle of freed) held.delete(handle);
    },
    fill() {
      while (held.size < capacity) hold();
    },
  };
}
