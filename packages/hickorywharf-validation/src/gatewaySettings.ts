import * as z from 'zod';
import {commonSections} from './commonSections.ts';

const MAXIMUM_PORT = 65_535;

/** An address such as `10.1.0.41:8625`, parsed into host and port. */
const socketAddress = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be IP:PORT')
  .transform((text) => {
    const [host = '', port = ''] = text.split(':');
    return {host, port: Number(port)};
  })
  .refine(({port}) => port <= MAXIMUM_PORT, 'the port is at most 65535');

/** Zero or more addresses, separated by commas. */
const socketAddresses = z
  .string()
  .default('')
  .transform((text) => text.split(',').filter((part) => part.trim() !== ''))
  .pipe(z.array(z.string().trim().pipe(socketAddress)));

/** Timers of Node can't be much longer. */
const MAXIMUM_SECONDS = 86_400;

const milliseconds = z.coerce
  .number()
  .min(0)
  .max(MAXIMUM_SECONDS * 1000);
const seconds = z.coerce.number().min(0).max(MAXIMUM_SECONDS);

/** The settings of an entry that calls endpoints directly. */
export const gatewaySettings = z.strictObject({
  process: commonSections.process,
  listen: z.strictObject({
    callers: socketAddress,
    readiness: socketAddress,
    peers: socketAddress,
    metrics: socketAddress,
  }),
  peers: z.strictObject({seeds: socketAddresses}).prefault({}),
  limits: z.strictObject({
    coreShare: z.coerce.number().positive(),
    linkMegabits: z.coerce.number().positive(),
    memoryMegabytes: z.coerce.number().positive().optional(),
    maximumDescriptors: z.coerce.number().int().positive().optional(),
  }),
  /** Off without a share of calls. */
  hedging: z
    .strictObject({
      callShare: z.coerce.number().min(0).max(1).default(0),
      roomShare: z.coerce.number().min(0).max(1).default(0.1),
    })
    .prefault({}),
  store: z.strictObject({address: z.string().min(1)}),
  /** `GatewaySettings` in hickorywharf-types describes them, in milliseconds. */
  bounds: z.strictObject({
    graceSeconds: seconds,
    revokeMilliseconds: milliseconds,
    applyMilliseconds: milliseconds,
    drainMilliseconds: milliseconds,
    lapseMilliseconds: milliseconds.default(2000),
    evacuateMilliseconds: milliseconds.optional(),
    coldOverageRatio: z.coerce.number().min(1).optional(),
    coldSlackCalls: z.coerce.number().min(0).optional(),
    repeatRatio: z.coerce.number().min(0),
    repeatWindowSeconds: seconds,
    repeatAllowance: z.coerce.number().min(0),
  }),
});
