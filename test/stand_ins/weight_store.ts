/** Stand-in for the platform's weight store. */
import { runAsProgram, sendJson, StandInServer } from "./stand_in_server.ts";

export interface WeightStoreOptions {
  readonly requestsPerSecond?: number;
  /** Versions of the weights by model, newest last. */
  readonly versions?: Readonly<Record<string, readonly string[]>>;
}

/**
 * Serves the versions of model weights; responds with 429 above its request
 * rate.
 */
export class WeightStoreStandIn {
  refused = 0;
  readonly #requestsPerSecond: number;
  readonly #versions: Readonly<Record<string, readonly string[]>>;
  #windowStart = 0;
  #requestsInWindow = 0;
  readonly #server = new StandInServer((_request, response, url) => {
    const model = /^\/models\/([^/]+)\/versions$/.exec(url.pathname)?.[1];
    const name = model === undefined ? "" : decodeURIComponent(model);
    if (!this.#isWithinRate()) {
      this.refused += 1;
      response.setHeader("retry-after", "1");
      return sendJson(response, 429, {});
    }
    const versions = this.#versions[name];
    if (versions === undefined) return sendJson(response, 404, {});
    sendJson(response, 200, { model: name, versions });
  });

  constructor(options: WeightStoreOptions = {}) {
    this.#requestsPerSecond = options.requestsPerSecond ?? 10;
    this.#versions = options.versions ?? {};
  }

  listen(port?: number): Promise<number> {
    return this.#server.listen(port);
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  #isWithinRate(): boolean {
    const now = performance.now();
    if (now - this.#windowStart >= 1000) {
      this.#windowStart = now;
      this.#requestsInWindow = 0;
    }
    this.#requestsInWindow += 1;
    return this.#requestsInWindow <= this.#requestsPerSecond;
  }
}

await runAsProgram(
  import.meta.url,
  (options) => new WeightStoreStandIn(options as WeightStoreOptions),
);
