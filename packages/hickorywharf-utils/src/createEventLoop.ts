interface EventLoopOptions<Event, Command> {
  readonly decide: (event: Event) => readonly Command[];
  readonly execute: (command: Command) => void;
}

/**
 * Feeds events to a decision core and executes its commands. An event that
 * arises while commands are executed waits until all of them are, so that
 * commands run in the order in which they were decided.
 *
 * @returns the function that takes an event
 * @example
 *     const feed = createEventLoop({decide, execute});
 *     feed({tag: 'ticked'});
 */
export function createEventLoop<Event, Command>(
  options: EventLoopOptions<Event, Command>,
): (event: Event) => void {
  const {decide, execute} = options;
  const waiting: Event[] = [];
  let isRunning = false;
  return (event) => {
    waiting.push(event);
    if (isRunning) return;
    isRunning = true;
    try {
      for (let next = waiting.shift(); next; next = waiting.shift()) {
        decide(next).forEach(execute);
      }
    } finally {
      isRunning = false;
    }
  };
}
