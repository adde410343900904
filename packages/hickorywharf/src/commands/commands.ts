import type {Command} from '../command.ts';

/** The commands by name. The module of each is loaded only when it is used. */
export const commands: Readonly<Record<string, () => Promise<Command>>> = {
  entry: async () => (await import('./entryCommand.ts')).entryCommand,
  endpoint: async () => (await import('./endpointCommand.ts')).endpointCommand,
  'check-settings': async () =>
    (await import('./checkSettingsCommand.ts')).checkSettingsCommand,
  'check-history': async () =>
    (await import('./checkHistoryCommand.ts')).checkHistoryCommand,
  experiment: async () =>
    (await import('./experimentCommand.ts')).experimentCommand,
  report: async () => (await import('./reportCommand.ts')).reportCommand,
  plan: async () => (await import('./planCommand.ts')).planCommand,
  apply: async () => (await import('./applyCommand.ts')).applyCommand,
  get: async () => (await import('./getCommand.ts')).getCommand,
  status: async () => (await import('./statusCommand.ts')).statusCommand,
  drain: async () => (await import('./drainCommand.ts')).drainCommand,
  undrain: async () => (await import('./undrainCommand.ts')).undrainCommand,
  split: async () => (await import('./splitCommand.ts')).splitCommand,
  'stand-in': async () => (await import('./standInCommand.ts')).standInCommand,
};
