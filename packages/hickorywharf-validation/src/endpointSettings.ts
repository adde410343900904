import * as z from 'zod';
import {commonSections} from './commonSections.ts';

const {address, port} = commonSections;

/** The settings of an endpoint process. */
export const endpointSettings = z.strictObject({
  process: commonSections.process,
  platform: commonSections.platform,
  logs: commonSections.logs,
  history: commonSections.history,
  metrics: commonSections.metrics,
  traces: commonSections.traces,
  operators: commonSections.operators,
  tls: commonSections.tls,
  configuration: commonSections.configuration,
  listen: z.strictObject({address, port}),
  backend: z.strictObject({
    kind: z.enum(['engine', 'pool', 'service']),
    url: z.url(),
    slots: z.coerce.number().int().min(1).max(10_000).default(8),
  }),
  queue: z
    .strictObject({
      order: z.string().default('fairShortest'),
      maximumLength: z.coerce.number().int().min(1).default(500),
      retentionMilliseconds: z.coerce.number().int().min(1000).default(30_000),
      retentionBytes: z.coerce
        .number()
        .int()
        .min(1024)
        .default(16 * 1024 * 1024),
    })
    .prefault({}),
  homes: z
    .strictObject({
      /** The pool whose partitions this process may be home of; or empty. */
      pool: z.string().default(''),
      intervalSeconds: z.coerce.number().int().min(1).default(900),
      /** How far callers' clocks may run ahead of that of a home. */
      aheadSeconds: z.coerce.number().min(0).max(3600).default(5),
    })
    .prefault({}),
});
