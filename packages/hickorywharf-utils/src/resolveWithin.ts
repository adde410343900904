/**
 * Waits for a promise for a limited time.
 *
 * @returns its value, or `otherwise` once the time has passed; rejects if the
 *     promise rejects before
 * @example
 *     await resolveWithin(read(), {milliseconds: 400, otherwise: null});
 */
export async function resolveWithin<Value>(
  promise: Promise<Value>,
  limit: {readonly milliseconds: number; readonly otherwise: Value},
): Promise<Value> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<Value>((resolve) => {
    timer = setTimeout(() => resolve(limit.otherwise), limit.milliseconds);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
