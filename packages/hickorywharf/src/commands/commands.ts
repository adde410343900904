import type {Command} from '../command.ts';

/** The commands by name, each loaded only when it is used. */
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
  apply: async () => (await import('./applyCommand.ts')).applyCommand,
  'stand-in': async () => (await import('./standInCommand.ts')).standInCommand,
};
