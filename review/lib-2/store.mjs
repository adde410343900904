// A small stand-in for the platform's store: items, ranges, transactions and
// leases, in memory. It is sound: linearizable, and it loses nothing.
import http from 'node:http';

export async function startStore() {
  const items = new Map();
  const leases = new Map();
  let revision = 1;
  let lastLease = 0;
  let isDown = false;

  function put(key, text, lease = 0) {
    revision += 1;
    const value = Buffer.from(text).toString('base64');
    const created = items.get(key)?.created ?? revision;
    items.set(key, {key, value, rev: revision, created, lease});
    return revision;
  }
  function remove(key) {
    if (items.delete(key)) revision += 1;
  }
  function endLease(id) {
    clearTimeout(leases.get(id)?.timer);
    leases.delete(id);
    for (const item of [...items.values()]) {
      if (item.lease === id) remove(item.key);
    }
  }
  function keepLease(id, milliseconds) {
    clearTimeout(leases.get(id)?.timer);
    const timer = setTimeout(() => endLease(id), milliseconds);
    timer.unref();
    leases.set(id, {timer, milliseconds});
  }

  function answer(method, url, body) {
    const {pathname, searchParams: query} = new URL(url, 'http://store');
    const name = decodeURIComponent(pathname.split('/')[3] ?? '');
    const call = `${method} ${pathname.split('/').slice(0, 3).join('/')}`;
    if (call === 'GET /api/kv-key') {
      const item = items.get(query.get('key'));
      return item ? [200, {...item, asOf: revision}] : [404, {}];
    }
    if (call === 'GET /api/kv-range') {
      const prefix = query.get('prefix') ?? '';
      const after = query.get('after') ?? '';
      const found = [...items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      const entries = found.slice(0, 500);
      const morePages = found.length > entries.length;
      return [200, {entries, morePages, asOf: revision}];
    }
    if (call === 'POST /api/kv-txn') {
      const {expectedRev = [], puts = [], remove: removed = []} = body;
      const isCurrent = expectedRev.every(
        ({key, rev}) => (items.get(key)?.rev ?? 0) === rev,
      );
      if (!isCurrent) {
        const entries = expectedRev.flatMap(({key}) => items.get(key) ?? []);
        return [412, {entries}];
      }
      const hasLeases = puts.every(
        ({lease = 0}) => !lease || leases.has(lease),
      );
      if (!hasLeases) return [404, {}];
      for (const {key, value, lease} of puts) {
        put(key, Buffer.from(value, 'base64'), lease ?? 0);
      }
      removed.forEach(remove);
      return [200, {rev: revision}];
    }
    if (call === 'POST /api/kv-lease') {
      lastLease += 1;
      keepLease(lastLease, body.ttlMs);
      return [200, {lease: lastLease, ttlMs: body.ttlMs}];
    }
    if (call === 'POST /api/kv-keep') {
      const lease = leases.get(Number(name));
      if (lease === undefined) return [404, {}];
      keepLease(Number(name), lease.milliseconds);
      return [200, {lease: Number(name), ttlMs: lease.milliseconds}];
    }
    if (call === 'DELETE /api/kv-lease-end') {
      endLease(Number(name));
      return [200, {}];
    }
    return [404, {}];
  }

  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString();
      const [status, body] = isDown
        ? [503, {}]
        : answer(request.method, request.url, text ? JSON.parse(text) : null);
      // An answer of the store takes 4 ms.
      setTimeout(() => {
        response.writeHead(status, {'content-type': 'application/json'});
        response.end(JSON.stringify(body));
      }, 4);
    });
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    put: (key, value) => put(key, JSON.stringify(value)),
    remove,
    setDown: (value) => (isDown = value),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
