// A client: sends one request and tells how it ended.
import http from 'node:http';

/**
 * Resolves with the status, the body and whether the answer is whole; with a
 * status of null if the channel ended without an answer.
 */
export function sendRequest({
  port,
  host,
  method,
  target,
  headers,
  body,
  agent,
}) {
  return new Promise((resolve) => {
    const sentAt = performance.now();
    let status = null;
    let stamp = null;
    const chunks = [];
    let isDone = false;
    const finish = (isWhole, reason) => {
      if (isDone) return;
      isDone = true;
      const text = Buffer.concat(chunks).toString();
      const milliseconds = Math.round(performance.now() - sentAt);
      resolve({status, stamp, text, isWhole, reason, milliseconds});
    };
    const request = http.request({
      host: '127.0.0.1',
      port,
      method,
      path: target,
      agent: agent ?? false,
      headers: {host, ...headers},
    });
    request.on('error', (error) => finish(false, error.code ?? error.message));
    request.on('response', (response) => {
      status = response.statusCode;
      stamp = response.headers['response-stamp'] ?? null;
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', (error) => finish(false, error.code));
      response.on('end', () => finish(response.complete, 'end'));
    });
    request.end(body);
  });
}
