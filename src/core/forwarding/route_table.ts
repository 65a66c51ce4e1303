import type { ServiceName } from "../identity/mod.ts";
import type { Random } from "../random/mod.ts";
import { KeyDirectory } from "./callers/key_directory.ts";
import type { ForwardingConfiguration, Route } from "./configuration.ts";

/**
 * What a configuration says of callers: the route of a request, by the longest
 * matching prefix of its host, and whose key is whose.
 */
export class RouteTable {
  readonly configuration: ForwardingConfiguration;
  /** Undefined where callers need no keys. */
  readonly keys: KeyDirectory | undefined;
  /** By host, the longest prefix first. */
  readonly #byHost = new Map<string, Route[]>();

  constructor(configuration: ForwardingConfiguration) {
    this.configuration = configuration;
    const { workspaces } = configuration;
    this.keys = workspaces && new KeyDirectory(workspaces);
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#byHost.get(host);
      if (routes === undefined) this.#byHost.set(host, [route]);
      else routes.push(route);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((one, other) =>
        other.pathPrefix.length - one.pathPrefix.length
      );
    }
  }

  /** `host` may carry a port, `target` a query. */
  find(host: string, target: string): Route | undefined {
    const path = pathOf(target);
    const name = host.toLowerCase().replace(/:\d+$/, "");
    return this.#byHost.get(name)?.find((route) =>
      path.startsWith(route.pathPrefix)
    );
  }
}

function pathOf(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}

/** Draws the pool of a request by the weights of its route. */
export function drawPool(
  route: Route,
  random: Random,
): ServiceName | undefined {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let rest = random() * total;
  for (const share of route.shares) {
    rest -= share.weight;
    if (rest < 0) return share.pool;
  }
  return route.shares.at(-1)?.pool;
}
