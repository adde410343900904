import type {Command} from '../command.ts';
import {createDrainCommand} from '../operators/createDrainCommand.ts';

/** `hickorywharf undrain ENDPOINT`: lets an endpoint receive work again. */
export const undrainCommand: Command = createDrainCommand(false);
