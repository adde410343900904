import type {StageOrder} from 'hickorywharf-types/gateway/stageOrder';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';

/** Runs pieces through the dispatcher of their service, local or a peer's. */
export interface StageRouter {
  /**
   * Submits an order. `onResult` is called at most once for each piece.
   *
   * @returns a function that cancels the order
   */
  order(order: StageOrder, onResult: (result: StageResult) => void): () => void;
  /**
   * Estimated queueing time at a service. Null if it is not known: the service
   * has no stage, or its dispatcher is a peer that sent no estimate recently.
   */
  getWaitEstimate(service: string): StageWaits | null;
  /** Frees results; unknown handles are ignored. */
  free(handles: readonly string[]): void;
  /** Failure domain that holds a result; undefined if it is not known. */
  getFailureDomain(handle: string): string | undefined;
}
