// A server of bookings. It works 86 ms on each and answers 200; while it is grey
// it fails a share of them after its work, with 503 and its stamp. That answer
// carries no Not-Executed, as the request was run.
import http from 'node:http';

export async function startDeskServer({id, onRun, isGrey, record}) {
  let runs = 0;
  const server = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      const requestId = request.headers['request-id'] ?? '';
      const expected = request.headers['expect-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, {'not-executed': '1', 'request-id': requestId});
        response.end();
        return;
      }
      onRun(requestId);
      runs += 1;
      // Two of five: the share 0.4 of `srv_grey`.
      const fails = isGrey() && runs % 5 < 2;
      setTimeout(() => {
        const status = fails ? 503 : 200;
        record(`server ${id}: ran ${requestId}, answers ${status}`);
        response.writeHead(status, {
          'content-type': 'text/plain',
          'request-id': requestId,
          'response-stamp': `${id}.${requestId}`,
        });
        response.end('x'.repeat(800));
      }, 86);
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
