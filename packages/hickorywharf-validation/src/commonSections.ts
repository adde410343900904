import * as z from 'zod';

const MAXIMUM_PORT = 65_535;

const port = z.coerce.number().int().min(0).max(MAXIMUM_PORT);
const address = z.union([z.ipv4(), z.ipv6()]);
const flag = z.union([
  z.boolean(),
  z.enum(['true', 'false']).transform((text) => text === 'true'),
]);

/** Settings sections, and types of their values, that several roles share. */
export const commonSections = {
  port,
  address,
  flag,
  process: z.strictObject({
    name: z.string().min(1).max(100),
    failureDomain: z.string().min(1).max(100),
  }),
  platform: z.strictObject({
    storeUrl: z.url(),
    instancesUrl: z.url(),
    instancesPollMilliseconds: z.coerce
      .number()
      .int()
      .min(100)
      .max(60_000)
      .default(1000),
  }),
  logs: z
    .strictObject({
      level: z
        .enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal'])
        .default('info'),
    })
    .prefault({}),
  history: z.strictObject({file: z.string().default('')}).prefault({}),
  metrics: z
    .strictObject({
      address: address.default('127.0.0.1'),
      port: port.default(0),
    })
    .prefault({}),
  traces: z
    .strictObject({url: z.union([z.literal(''), z.url()]).default('')})
    .prefault({}),
  configuration: z
    .strictObject({
      /** How a process follows the configuration log in the store. */
      follow: z
        .enum(['watchers', 'probes', 'watchEach', 'poll'])
        .default('watchers'),
      /** How a process passes new entries of the log on to connected ones. */
      relay: z.enum(['announce', 'push', 'none']).default('announce'),
    })
    .prefault({}),
  operators: z
    .strictObject({
      address: address.default('127.0.0.1'),
      port: port.default(0),
    })
    .prefault({}),
  tls: z
    .strictObject({
      /** PEM files; all three for mutual TLS, none for plain TCP. */
      certificateFile: z.string().default(''),
      keyFile: z.string().default(''),
      authorityFile: z.string().default(''),
    })
    .refine(
      (files) =>
        new Set(Object.values(files).map((file) => file === '')).size === 1,
      'set certificateFile, keyFile and authorityFile, or none of them',
    )
    .prefault({}),
};
