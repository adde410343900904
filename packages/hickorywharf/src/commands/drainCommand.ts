import type {Command} from '../command.ts';
import {createDrainCommand} from '../operators/createDrainCommand.ts';

/** `hickorywharf drain ENDPOINT`: stops new work for an endpoint. */
export const drainCommand: Command = createDrainCommand(true);
