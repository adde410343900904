import * as z from 'zod';
import {commonSections} from './commonSections.ts';

const {address, port} = commonSections;

/** The settings of an entry. */
export const entrySettings = z.strictObject({
  process: commonSections.process,
  platform: commonSections.platform,
  logs: commonSections.logs,
  history: commonSections.history,
  metrics: commonSections.metrics,
  traces: commonSections.traces,
  operators: commonSections.operators,
  tls: commonSections.tls,
  configuration: commonSections.configuration,
  http: z.strictObject({address, port}),
  limits: z
    .strictObject({
      bodyBytes: z.coerce
        .number()
        .int()
        .min(1024)
        // A body is sent to an endpoint in one frame, of 8 MiB at most.
        .max(4 * 1024 * 1024)
        .default(1024 * 1024),
      requestsInFlight: z.coerce.number().int().min(1).default(2000),
      memoryMegabytes: z.coerce.number().positive().optional(),
      maximumDescriptors: z.coerce.number().int().positive().optional(),
    })
    .prefault({}),
  policy: z
    .strictObject({
      routing: z.string().default('cost'),
      admission: z.enum(['none', 'estimate']).default('estimate'),
      ejection: z.enum(['none', 'slowness']).default('slowness'),
      hedging: z.enum(['none', 'late']).default('late'),
    })
    .prefault({}),
  stop: z
    .strictObject({
      /**
       * How long a load balancer may still send requests after readiness has
       * turned false.
       */
      balancerMilliseconds: z.coerce.number().int().min(0).default(2000),
    })
    .prefault({}),
});
