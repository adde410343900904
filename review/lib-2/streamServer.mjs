// A sound server of streams: it names its instance and the request, signs its
// answer, and sends events with increasing ids at a steady pace.
import http from 'node:http';

export async function startStreamServer({id, record}) {
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const requestId = request.headers['request-id'] ?? '';
      const expected = request.headers['expect-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, {'not-executed': '1', 'request-id': requestId});
        response.end();
        return;
      }
      const [, tokens = '0'] = (request.headers['token-counts'] ?? '').split(
        ',',
      );
      const count = Number(tokens) / 3;
      record(`server ${id}: runs ${requestId}, ${count} events`);
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'request-id': requestId,
        'response-stamp': `${id}.${requestId}`,
      });
      let sent = 0;
      const timer = setInterval(() => {
        sent += 1;
        response.write(`id: ${sent}\ndata: part ${sent} of ${requestId}\n\n`);
        if (sent < count) return;
        clearInterval(timer);
        response.end();
        record(`server ${id}: ${requestId} ran to its end`);
      }, 100);
      response.on('close', () => {
        clearInterval(timer);
        if (sent < count) {
          record(
            `server ${id}: channel of ${requestId} closed, ${sent} events`,
          );
        }
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
