import {request} from 'undici';

/** Calls of the store stand-in so far, by kind. */
type StoreCalls = Readonly<
  Record<'get' | 'list' | 'write' | 'watch' | 'lease' | 'refused', number>
>;

/** Operations on the store stand-in that no real store has. */
export const storeStandIn = {
  /** Makes things go wrong, or right again. */
  async setFaults(
    storeUrl: string,
    faults: Readonly<Record<string, number | boolean>>,
  ): Promise<void> {
    const {body} = await request(`${storeUrl}/v1/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
    await body.dump();
  },
  async getCalls(storeUrl: string): Promise<StoreCalls> {
    const {body} = await request(`${storeUrl}/v1/calls`);
    return (await body.json()) as StoreCalls;
  },
  async backUp(storeUrl: string): Promise<void> {
    const {body} = await request(`${storeUrl}/v1/backup`, {method: 'POST'});
    await body.dump();
  },
  async restore(storeUrl: string): Promise<void> {
    const {body} = await request(`${storeUrl}/v1/restore`, {method: 'POST'});
    await body.dump();
  },
} as const;
