// A model server with more callers than this gateway, and busy to its limits. It
// streams events each 100 ms. A request that is preempted pauses, and goes on
// once its prompt has been read in again. When a channel is closed, the place
// goes to another caller at once: from then on the server is full.
import http from 'node:http';

export async function startEngineServer(options) {
  const {id, isFull, getPause, onRun, record} = options;
  let isTaken = false;
  const server = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      const requestId = request.headers['request-id'] ?? '';
      const expected = request.headers['expect-instance'];
      const refuse = (status) => {
        record(`server ${id}: turns ${requestId} away with ${status}`);
        response.writeHead(status, {
          'not-executed': '1',
          'request-id': requestId,
          'content-length': '0',
        });
        response.end();
      };
      if (expected !== undefined && expected !== id) return refuse(421);
      if (isTaken || isFull()) return refuse(503);
      const [, tokens] = request.headers['token-counts'].split(',');
      const count = Number(tokens) / 3;
      let sent = Number(request.headers['last-event-id'] ?? 0);
      onRun(requestId);
      record(`server ${id}: runs ${requestId} from event ${sent + 1} on`);
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'request-id': requestId,
        'response-stamp': `${id}.${requestId}`,
      });
      let timer;
      const pause = getPause(requestId);
      function sendNext() {
        sent += 1;
        response.write(`id: ${sent}\ndata: part ${sent} of ${requestId}\n\n`);
        if (sent === count) {
          response.end();
          record(`server ${id}: ${requestId} ran to its end`);
          return;
        }
        const isPreempted = pause !== null && sent === pause.afterEvents;
        if (isPreempted) record(`server ${id}: ${requestId} is preempted`);
        timer = setTimeout(sendNext, isPreempted ? pause.milliseconds : 100);
      }
      sendNext();
      response.on('close', () => {
        clearTimeout(timer);
        if (sent === count) return;
        isTaken = true;
        record(`server ${id}: channel of ${requestId} closed at event ${sent}`);
      });
    });
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
