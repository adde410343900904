import {createEndpointCore} from 'hickorywharf-decisions/endpoint/createEndpointCore';
import {queuePolicies} from 'hickorywharf-decisions/endpoint/policies/queuePolicies';
import {PARTITION_COUNT} from 'hickorywharf-decisions/homes/partitionCount';
import type {endpointSettings} from 'hickorywharf-validation/endpointSettings';
import type * as z from 'zod';

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Creates the decision core of an endpoint process from its settings.
 *
 * @param incarnation unique to this run of the process
 * @throws Error if the settings name an unknown queue order
 * @example
 *     const core = createCoreFromSettings(settings, randomUUID());
 *     core.getLoad().queued; // 0
 */
export function createCoreFromSettings(
  settings: z.infer<typeof endpointSettings>,
  incarnation: string,
): ReturnType<typeof createEndpointCore> {
  const {queue, homes, backend} = settings;
  if (!Object.hasOwn(queuePolicies, queue.order)) {
    const allowed = Object.keys(queuePolicies).join(', ');
    throw new Error(`[queue] order: must be one of ${allowed}`);
  }
  return createEndpointCore({
    name: settings.process.name,
    incarnation,
    slots: backend.slots,
    queueOrder: queue.order,
    maximumQueueLength: queue.maximumLength,
    retentionMilliseconds: queue.retentionMilliseconds,
    retentionBytes: queue.retentionBytes,
    homePartitionCount: PARTITION_COUNT,
    maximumSkewMilliseconds: homes.aheadSeconds * MILLISECONDS_PER_SECOND,
  });
}
