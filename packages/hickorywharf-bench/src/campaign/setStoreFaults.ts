import {request} from 'undici';

/**
 * Sets faults of the store stand-in; the others keep their values.
 *
 * @throws if the stand-in cannot be reached or refuses the change
 * @example
 *     await setStoreFaults('http://127.0.0.1:7000', {unavailable: true});
 */
export async function setStoreFaults(
  storeUrl: string,
  faults: Readonly<Record<string, boolean | number>>,
): Promise<void> {
  const {body, statusCode} = await request(`${storeUrl}/v1/faults`, {
    method: 'PUT',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(faults),
  });
  await body.dump();
  if (statusCode !== 200) throw new Error(`the store answered ${statusCode}`);
}
