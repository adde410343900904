import type {StageOrder} from 'hickorywharf-types/gateway/stageOrder';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';

/** Makes pieces of stages at endpoints, in batches across requests. */
export interface StageDispatcher {
  /** Asks for pieces, each with its own result; gives a way to call them off. */
  order(order: StageOrder, onResult: (result: StageResult) => void): () => void;
  /** How long groups would wait; null if the service has no stage. */
  getWaitEstimate(service: string): StageWaits | null;
  /** Gives results up, so that their makers have room again. */
  free(handles: readonly string[]): void;
  /** Frees results that another instance had made, at their endpoint. */
  freeAt(endpointId: string, handles: readonly string[]): void;
  /** Looks for work again, after the endpoints changed. */
  refresh(): void;
  /** Forgets what was learnt of an endpoint that is gone. */
  forget(endpointId: string): void;
}
