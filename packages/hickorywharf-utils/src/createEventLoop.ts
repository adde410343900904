interface EventLoopOptions<Event, Command> {
  /** Handles an event without I/O and returns the commands it leads to. */
  readonly decide: (event: Event) => readonly Command[];
  /** Performs the I/O of a command; may raise further events. */
  readonly execute: (command: Command) => void;
}

/**
 * Passes events to a decision core and executes its commands. An event that is
 * raised while commands are executed is queued until all of them have been, so
 * that commands run in the order in which they were decided.
 *
 * @returns the function that handles an event
 * @example
 *     const feed = createEventLoop({decide, execute});
 *     feed({tag: 'ticked'});
 */
export function createEventLoop<Event, Command>(
  options: EventLoopOptions<Event, Command>,
): (event: Event) => void {
  const {decide, execute} = options;
  const pending: Event[] = [];
  let isRunning = false;
  return (event) => {
    pending.push(event);
    if (isRunning) return;
    isRunning = true;
    try {
      for (let next = pending.shift(); next; next = pending.shift()) {
        decide(next).forEach(execute);
      }
    } finally {
      isRunning = false;
    }
  };
}
