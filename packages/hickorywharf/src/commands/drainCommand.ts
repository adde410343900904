import type {Command} from '../command.ts';
import {createDrainCommand} from '../operators/createDrainCommand.ts';

/** `hickorywharf drain ENDPOINT`: gives an endpoint no new work. */
export const drainCommand: Command = createDrainCommand(true);
