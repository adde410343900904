import {Hono} from 'hono';
import {sleep} from 'hickorywharf-utils/sleep';
import {expectedContent} from './expectedContent.ts';

/**
 * A stand-in of a member of a pool: it encodes, retrieves and reranks.
 *
 * @param workMilliseconds time that each call takes
 * @example
 *     createPoolStandIn(10);
 */
export function createPoolStandIn(workMilliseconds: number): Hono {
  const application = new Hono();
  application.post('/v1/encode', async (context) => {
    const {text} = await context.req.json<{text: string}>();
    await sleep(workMilliseconds);
    return context.json({vector: expectedContent.encode(text)});
  });
  application.post('/v1/retrieve', async (context) => {
    const {vector} = await context.req.json<{vector: number[]}>();
    await sleep(workMilliseconds);
    return context.json({documents: expectedContent.retrieve(vector)});
  });
  application.post('/v1/rerank', async (context) => {
    const body = await context.req.json<{text: string; documents: string[]}>();
    await sleep(workMilliseconds);
    const documents = expectedContent.rerank(body.text, body.documents);
    return context.json({documents});
  });
  return application;
}
