import type {Fault} from './fault.ts';

/** The faults under which each strategy is simulated, one at a time. */
export const faults: readonly Fault[] = [
  {name: 'none'},
  {name: 'store down for ten minutes', storeDown: {from: 300, until: 900}},
  {name: 'one write answer in ten lost', lostResponseShare: 0.1},
  {
    name: 'home killed, restarted in its slot',
    home: {from: 300, until: 302, returns: 'sameSlot'},
  },
  {
    name: 'instance of a home lost, replaced',
    home: {from: 300, until: 330, returns: 'otherInstance'},
  },
  {
    name: 'home paused for a minute',
    home: {from: 300, until: 360, returns: 'resumed'},
  },
  {
    name: 'home handed over by a planned stop',
    home: {from: 300, until: 1200, returns: 'handedOver'},
  },
];
