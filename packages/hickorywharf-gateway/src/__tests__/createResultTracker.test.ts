import test from 'ava';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {sleep} from 'hickorywharf-utils/sleep';
import type {GatewayMetrics} from '../gatewayMetrics.ts';
import {createResultTracker} from '../createResultTracker.ts';
import type {EndpointRequest} from '../endpointRequest.ts';

const RESULT_BYTES = 3_000_000;
/** Of a result whose release is not sent. */
const EXPIRY_MILLISECONDS = 400;
const endpoint: GatewayEndpoint = {
  id: 'scan-0',
  service: 'scan',
  host: '127.0.0.1',
  port: 1,
  failureDomain: 'a',
  isDraining: false,
  startedAt: 1,
  version: 'v1',
  slots: 1,
};

/** Frees one result at an endpoint that behaves as `respond` says. */
async function freeOne(
  respond: (request: EndpointRequest, isAborted: () => boolean) => void,
  isReportedTwice = false,
  isEvacuated = false,
) {
  const logged: unknown[] = [];
  let aborted = 0;
  let isReleased = false;
  const tracker = createResultTracker({
    wire: {
      stageFree: {method: 'POST', path: '/free'},
      formatFree: () => '',
      formatStageHeaders: () => [],
    } as unknown as GatewayWireFormat,
    endpointClient: {
      send(request) {
        let isAborted = false;
        respond(request, () => isAborted);
        return {
          abort() {
            isAborted = true;
            aborted += 1;
          },
          pause: () => undefined,
          resume: () => undefined,
        };
      },
      reserve: () => ({release: () => undefined}),
      close: () => undefined,
    },
    log: {
      infoRateLimited: (_message, fields) => void logged.push(fields),
      infoAlways: () => undefined,
    },
    now: () => performance.now(),
    limiter: {
      getWait: () => 0,
      getPause: () => 0,
      isWithdrawn: () => false,
      recordAvailability: () => undefined,
      reserve: () => 0,
    },
    metrics: {count: () => undefined} as unknown as GatewayMetrics,
    isLeaving: () => false,
    isEvacuated: () => isEvacuated,
    onRelease: () => void (isReleased = true),
  });
  const keep = isEvacuated ? EXPIRY_MILLISECONDS : 60_000;
  tracker.add('h', endpoint, RESULT_BYTES, keep);
  if (isReportedTwice) tracker.add('h', endpoint, RESULT_BYTES, 60_000);
  tracker.free(['h']);
  const startedAt = performance.now();
  while (!isReleased && performance.now() - startedAt < 5000) await sleep(10);
  return {
    aborted,
    logged,
    elapsed: performance.now() - startedAt,
    allocatedBytes: tracker.getAllocatedBytes(endpoint.id),
  };
}

test('a release that is never answered does not take up memory for good', async (t) => {
  const {aborted, logged, allocatedBytes} = await freeOne(() => undefined);
  t.is(allocatedBytes, 0);
  t.is(aborted, 2);
  t.like(logged[0], {peer: 'scan-0', reason: 'no response within 1000 ms'});
});

test('the answer to a release is not read without end', async (t) => {
  let receivedBytes = 0;
  const {aborted, logged, allocatedBytes} = await freeOne(
    async (request, isAborted) => {
      await sleep(1);
      while (!isAborted() && receivedBytes < 10_000_000) {
        receivedBytes += 1000;
        request.onData(Buffer.alloc(1000));
        await sleep(0);
      }
    },
  );
  t.true(receivedBytes < 100_000, `${receivedBytes} bytes were read`);
  t.is(allocatedBytes, 0);
  t.is(aborted, 2);
  t.like(logged[0], {reason: 'the response is longer than 16384 bytes'});
});

test('a result that is reported twice does not take up memory for good', async (t) => {
  const {allocatedBytes} = await freeOne(
    (request) => request.onEnd(true),
    true,
  );
  t.is(allocatedBytes, 0);
});

test('an endpoint of an evacuated failure domain is sent no release, and its results count until they expire', async (t) => {
  let sent = 0;
  const {logged, elapsed, allocatedBytes} = await freeOne(
    () => (sent += 1),
    false,
    true,
  );
  t.is(sent, 0);
  t.is(allocatedBytes, 0);
  t.true(elapsed > EXPIRY_MILLISECONDS / 2, `released after ${elapsed} ms`);
  t.like(logged[0], {reason: 'evacuated'});
});
