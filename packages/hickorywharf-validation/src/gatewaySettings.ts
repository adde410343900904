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

const milliseconds = z.coerce.number().min(0);

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
  }),
  store: z.strictObject({address: z.string().min(1)}),
  /** `GatewaySettings` in hickorywharf-types describes each of them. */
  bounds: z.strictObject({
    graceMilliseconds: milliseconds,
    revokeMilliseconds: milliseconds,
    applyMilliseconds: milliseconds,
    drainMilliseconds: milliseconds,
    lapseMilliseconds: milliseconds.default(2000),
    repeatRatio: z.coerce.number().min(0),
    repeatWindowMilliseconds: milliseconds,
    repeatAllowance: z.coerce.number().min(0),
  }),
});
