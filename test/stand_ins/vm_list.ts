/** Stand-in for the platform's list of VMs. */
import {
  readJson,
  runAsProgram,
  sendJson,
  StandInServer,
} from "./stand_in_server.ts";

/** A VM as the platform lists it. */
export interface StandInVm {
  readonly id: string;
  readonly address: string;
  readonly role: "entry" | "side";
  readonly availability_zone: string;
  readonly leaving: boolean;
}

export interface VmListOptions {
  readonly lagMilliseconds?: number;
}

/**
 * Serves the list as it was `lagMilliseconds` ago; `POST /control` changes it.
 */
export class VmListStandIn {
  /** Whether requests are answered with status 503. */
  down = false;
  lagMilliseconds: number;
  readonly #versions: { at: number; vms: readonly StandInVm[] }[] = [];
  readonly #server = new StandInServer(async (request, response, url) => {
    if (url.pathname === "/control") {
      const change = await readJson(request);
      if (Array.isArray(change.vms)) this.set(change.vms);
      if (typeof change.down === "boolean") this.down = change.down;
      if (typeof change.lagMilliseconds === "number") {
        this.lagMilliseconds = change.lagMilliseconds;
      }
      return sendJson(response, 200, { vms: this.#visibleVms() });
    }
    if (this.down) return sendJson(response, 503, {});
    if (url.pathname !== "/vms") return sendJson(response, 404, {});
    const vms = this.#visibleVms();
    const entityTag = `"${
      this.#versions.findIndex((each) => each.vms === vms)
    }"`;
    response.setHeader("etag", entityTag);
    if (request.headers["if-none-match"] === entityTag) {
      response.writeHead(304).end();
      return;
    }
    sendJson(response, 200, { vms });
  });

  constructor(options: VmListOptions = {}) {
    this.lagMilliseconds = options.lagMilliseconds ?? 0;
  }

  listen(port?: number): Promise<number> {
    return this.#server.listen(port);
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  /** Replaces the list; the change is visible after the lag. */
  set(vms: readonly StandInVm[]): void {
    this.#versions.push({ at: performance.now(), vms });
  }

  #visibleVms(): readonly StandInVm[] {
    const visibleUntil = performance.now() - this.lagMilliseconds;
    return this.#versions.findLast((version) => version.at <= visibleUntil)
      ?.vms ??
      [];
  }
}

await runAsProgram(
  import.meta.url,
  (options) => new VmListStandIn(options as VmListOptions),
);
