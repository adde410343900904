import type {Command} from '../command.ts';

/** Options that all commands on the configuration in the store share. */
export const changeOptions: Pick<Command, 'options' | 'optionHelp'> = {
  options: {
    store: {type: 'string'},
    operators: {type: 'string', multiple: true},
    base: {type: 'string'},
    output: {type: 'string', default: 'text'},
  },
  optionHelp: {
    store: "address of the platform's store, http://IP:PORT",
    operators:
      "an instance's address for operators, http://IP:PORT; may be repeated. The store is checked against what is in force there",
    base: 'refuse where a record to be changed was changed after this sequence',
    output: 'text (default) or json',
  },
};
