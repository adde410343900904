/**
 * Creates a function that runs a task for all that call it in the meantime:
 * tasks run one after the other, and a caller gets the result of the first that
 * starts after the call. What was true before the call is thus never taken for
 * the result.
 *
 * @param run must not reject
 * @example
 *     const confirm = createSharedTask(() => readList());
 *     await Promise.all([confirm(), confirm()]); // one or two reads
 */
export function createSharedTask<Value>(
  run: () => Promise<Value>,
): () => Promise<Value> {
  let running: Promise<unknown> = Promise.resolve();
  let next: Promise<Value> | null = null;
  return () => {
    next ??= running.then(() => {
      next = null;
      const task = run();
      running = task;
      return task;
    });
    return next;
  };
}
