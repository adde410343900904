import type {StageOrder} from 'hickorywharf-types/gateway/stageOrder';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';

/** Gets pieces made, here or by the instance that is in charge. */
export interface StageRouter {
  order(order: StageOrder, onResult: (result: StageResult) => void): () => void;
  /** How long groups would wait at a service; null if it is not known. */
  getWaitEstimate(service: string): StageWaits | null;
  free(handles: readonly string[]): void;
  /** Where a result lies; undefined if it is not known. */
  getFailureDomain(handle: string): string | undefined;
}
