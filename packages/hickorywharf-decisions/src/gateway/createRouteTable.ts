import type {GatewayRoute} from 'hickorywharf-types/gateway/gatewayRoute';

interface RouteTable {
  /** The route of a host and a path; undefined if no route matches. */
  find(host: string, path: string): GatewayRoute | undefined;
}

/**
 * Finds routes by host, ignoring case and port, and by the longest prefix that
 * matches the path. Only prefixes that end with a slash can match. A lookup
 * takes at most one step for each slash in the path, however many routes there
 * are.
 *
 * @example
 *     const table = createRouteTable(routes);
 *     table.find('desk.example', '/catalogue/17')?.prefix; // '/catalogue/'
 */
export function createRouteTable(routes: readonly GatewayRoute[]): RouteTable {
  const byHost = new Map<string, Map<string, GatewayRoute>>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const prefixes = byHost.get(host) ?? new Map<string, GatewayRoute>();
    prefixes.set(route.prefix, route);
    byHost.set(host, prefixes);
  }
  return {
    find(host, path) {
      const prefixes = byHost.get(host.toLowerCase().replace(/:\d+$/, ''));
      if (prefixes === undefined) return undefined;
      let end = path.lastIndexOf('/');
      while (end >= 0) {
        const route = prefixes.get(path.slice(0, end + 1));
        if (route !== undefined) return route;
        end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
      }
      return undefined;
    },
  };
}
