import type { EndpointId, SoftwareVersion } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { EngineRoleChange } from "./role_plan.ts";

/** Time in which callers take up the streams of engines that are gone. */
const TAKEN_UP_MILLISECONDS = 30_000;
/** Engines of a version with which its streams have to go on. */
const MIN_ENGINES = 2;

export interface VersionDecodersOptions {
  /** Engines of one pool that accept work. */
  readonly engines: readonly RegisteredEndpoint[];
  /** Open requests of all entries at the engine. */
  readonly openRequests: (endpoint: EndpointId) => number;
  /** Engines whose role change is in progress, with their new roles. */
  readonly changing: ReadonlyMap<EndpointId, "prefill" | "decode">;
}

/**
 * Keeps an engine that decodes for each software version whose streams may be
 * taken up: while versions are replaced, the last engines of one may all be
 * prefill engines, which can't continue a stream.
 */
export class VersionDecoders {
  readonly #timer: TimerService;
  /** When an engine of a version last decoded, by pool and version. */
  readonly #decodedAt = new Map<string, number>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Changes to the decode role for versions that have lost all decoders. */
  plan(options: VersionDecodersOptions): EngineRoleChange[] {
    const byVersion = groupByVersion(options.engines);
    if (byVersion.size < 2) return [];
    const now = this.#timer.now();
    return [...byVersion.values()].flatMap((engines) => {
      const key = JSON.stringify([engines[0].pool, engines[0].softwareVersion]);
      if (engines.some((each) => decodes(each, options))) {
        this.#decodedAt.set(key, now);
        return [];
      }
      const decodedAt = this.#decodedAt.get(key) ?? -Infinity;
      const isNeeded = now - decodedAt < TAKEN_UP_MILLISECONDS &&
        engines.length >= MIN_ENGINES;
      return isNeeded ? [decodeChange(engines, options)] : [];
    });
  }

  /** Leaves out changes that take the last decoder of a version. */
  retain(
    changes: readonly EngineRoleChange[],
    options: VersionDecodersOptions,
  ): EngineRoleChange[] {
    const byVersion = groupByVersion(options.engines);
    if (byVersion.size < 2) return [...changes];
    const left = new Map(
      [...byVersion].map(([version, engines]) => [
        version,
        engines.filter((each) => decodes(each, options)).length,
      ]),
    );
    return changes.filter(({ endpoint, role }) => {
      const { softwareVersion } = endpoint;
      const isDecoder = role === "prefill" && decodes(endpoint, options);
      const count = left.get(softwareVersion) ?? 0;
      const engines = byVersion.get(softwareVersion)?.length ?? 0;
      if (isDecoder && count <= 1 && engines >= MIN_ENGINES) return false;
      if (isDecoder) left.set(softwareVersion, count - 1);
      return true;
    });
  }
}

function decodes(
  { id, role }: RegisteredEndpoint,
  { changing }: VersionDecodersOptions,
): boolean {
  return (changing.get(id) ?? role) !== "prefill";
}

/** Changes the least busy of the engines. */
function decodeChange(
  engines: readonly RegisteredEndpoint[],
  { openRequests }: VersionDecodersOptions,
): EngineRoleChange {
  const endpoint = engines.reduce((best, each) =>
    openRequests(each.id) < openRequests(best.id) ? each : best
  );
  return { endpoint, role: "decode" };
}

function groupByVersion(
  engines: readonly RegisteredEndpoint[],
): ReadonlyMap<SoftwareVersion, readonly RegisteredEndpoint[]> {
  const groups = new Map<SoftwareVersion, RegisteredEndpoint[]>();
  for (const engine of engines) {
    const group = groups.get(engine.softwareVersion);
    if (group !== undefined) group.push(engine);
    else groups.set(engine.softwareVersion, [engine]);
  }
  return groups;
}
