import type {StageOrder} from 'hickorywharf-types/gateway/stageOrder';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';

/** Runs pieces of stages at endpoints, in batches that requests share. */
export interface StageDispatcher {
  /**
   * Queues the pieces of an order. `onResult` is called at most once for each
   * piece.
   *
   * @returns a function that cancels the order; no result is reported after it
   */
  order(order: StageOrder, onResult: (result: StageResult) => void): () => void;
  /** Estimated queueing time at a service; null if it has no stage. */
  getWaitEstimate(service: string): StageWaits | null;
  /** Frees results that are no longer needed, and so memory at endpoints. */
  free(handles: readonly string[]): void;
  /** Frees results at an endpoint that a peer's dispatcher tracked. */
  freeAt(endpointId: string, handles: readonly string[]): void;
  /** Dispatches queued pieces after a change of configuration or endpoints. */
  refresh(): void;
  /** Removes the measurements of an endpoint that is no longer listed. */
  removeEndpoint(endpointId: string): void;
}
