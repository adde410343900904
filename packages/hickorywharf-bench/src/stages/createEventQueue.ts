interface EventQueue {
  /** Simulated time, in milliseconds. */
  getNow(): number;
  schedule(at: number, run: () => void): void;
  /** Runs all events in the order of their times. */
  runAll(): void;
}

/**
 * Creates the event queue of a simulation. Events run in the order of their
 * times; events of the same time run in the order in which they were scheduled.
 *
 * @example
 *     const events = createEventQueue();
 *     events.schedule(10, () => events.getNow());
 *     events.runAll();
 */
export function createEventQueue(): EventQueue {
  const events: Array<{readonly at: number; run(): void}> = [];
  let now = 0;
  return {
    getNow: () => now,
    schedule(at, run) {
      let index = events.length;
      while (index > 0 && events[index - 1]!.at <= at) index -= 1;
      events.splice(index, 0, {at, run});
    },
    runAll() {
      for (
        let event = events.pop();
        event !== undefined;
        event = events.pop()
      ) {
        now = event.at;
        event.run();
      }
    },
  };
}
