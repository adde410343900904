import {request} from 'undici';

/** Counters of the calls to the store stand-in, by kind. */
type StoreCalls = Readonly<
  Record<'get' | 'list' | 'write' | 'watch' | 'lease' | 'refused', number>
>;

/** Operations of the store stand-in that a real store does not have. */
export const storeStandIn = {
  /** Injects faults, or clears them. */
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
  /** Takes the backup that `restore` goes back to. */
  async backUp(storeUrl: string): Promise<void> {
    const {body} = await request(`${storeUrl}/v1/backup`, {method: 'POST'});
    await body.dump();
  },
  async restore(storeUrl: string): Promise<void> {
    const {body} = await request(`${storeUrl}/v1/restore`, {method: 'POST'});
    await body.dump();
  },
} as const;
