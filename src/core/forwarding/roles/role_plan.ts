import type { AvailabilityZoneId, EndpointId } from "../../identity/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { RoleSample } from "./role_demand.ts";

/** Share of a pool's engines that prefill, where each engine has many slots. */
const MAX_PREFILL_SHARE = 0.7;
/** Slots per engine from which the full prefill share applies. */
const SLOTS_FOR_MAX_PREFILL_SHARE = 64;
/**
 * Share of the engines that moves from prefill to decode each time the slots
 * per engine halve. Answers that find no free slot wait for seconds.
 */
const PREFILL_SHARE_PER_SLOT_HALVING = 0.1;
/**
 * Lower bound of the prefill share by slots. It leaves engines for a burst of
 * prompts while the mix of the work is unknown.
 */
const MIN_PREFILL_SHARE_BY_SLOTS = 0.6;
/** Lower bound of the prefill share where the demand is known. */
const MIN_PREFILL_SHARE = 0.5;

/** Share of the engines that should prefill, by their slots alone. */
export function prefillShareBySlots(
  engines: readonly RegisteredEndpoint[],
): number {
  const sum = engines.reduce((slots, engine) => slots + engine.slots, 0);
  const slots = Math.max(1, sum / engines.length);
  const halvings = Math.max(0, Math.log2(SLOTS_FOR_MAX_PREFILL_SHARE / slots));
  return Math.max(
    MIN_PREFILL_SHARE_BY_SLOTS,
    MAX_PREFILL_SHARE - PREFILL_SHARE_PER_SLOT_HALVING * halvings,
  );
}

/** Target for the mean utilization of prefill engines. */
const MAX_PREFILL_UTILIZATION = 0.6;

/**
 * Share of the engines that should prefill, by the measured demand. Decode
 * engines get spare slots for the answers as far as prefill can do without the
 * engines.
 */
export function prefillShareForDemand(
  engines: readonly RegisteredEndpoint[],
  demand: RoleSample | undefined,
): number {
  const bySlots = prefillShareBySlots(engines);
  if (demand === undefined || engines.length === 0) return bySlots;
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
  const shareSparedByAnswers = 1 -
    demand.answers / (MAX_DECODE_SLOT_UTILIZATION * slots);
  const shareNeededForPrefill = demand.busyReaders /
    (MAX_PREFILL_UTILIZATION * engines.length);
  return Math.min(
    bySlots,
    Math.max(MIN_PREFILL_SHARE, shareSparedByAnswers, shareNeededForPrefill),
  );
}

/**
 * Tolerated difference between the engines of a role and their share. A crashed
 * engine is back within seconds; replacing it would take two role changes.
 */
const TOLERATED_DEVIATION_ENGINES = 0.75;
/** Target for the share of decode slots that answers use. */
const MAX_DECODE_SLOT_UTILIZATION = 0.6;

/** A change of one engine's role. */
export interface EngineRoleChange {
  readonly endpoint: RegisteredEndpoint;
  readonly role: "prefill" | "decode";
}

export interface RolePlanOptions {
  /** Engines of one pool that accept work. */
  readonly engines: readonly RegisteredEndpoint[];
  /** Open requests of all entries at the engine. */
  readonly openRequests: (endpoint: EndpointId) => number;
  /** Engines whose role change is in progress, with their new roles. */
  readonly changing: ReadonlyMap<EndpointId, "prefill" | "decode">;
  /**
   * Share of the engines that should prefill; by default it follows the slots.
   */
  readonly prefillShare?: number;
}

/**
 * Plans role changes for a pool. Each change takes an engine out of service for
 * seconds, so nothing changes while the counts are within tolerance.
 */
export function planRoles(options: RolePlanOptions): EngineRoleChange[] {
  const { engines, openRequests, changing } = options;
  if (engines.length < 2) return [];
  const roleOf = (engine: RegisteredEndpoint) =>
    changing.get(engine.id) ?? engine.role;
  const share = options.prefillShare ?? prefillShareBySlots(engines);
  const exactTarget = share * engines.length;
  const target = Math.min(
    engines.length - 1,
    Math.max(1, Math.round(share * engines.length)),
  );
  const prefillEngines = engines.filter((engine) =>
    roleOf(engine) === "prefill"
  );
  const missing = target - prefillEngines.length;
  const isWithinTolerance = Math.abs(exactTarget - prefillEngines.length) <=
      TOLERATED_DEVIATION_ENGINES &&
    prefillEngines.length > 0 && prefillEngines.length < engines.length;
  if (isWithinTolerance) return [];
  const role = missing > 0 ? "prefill" : "decode";
  const candidates = engines.filter((engine) =>
    roleOf(engine) !== role && !changing.has(engine.id)
  );
  return spreadOverZones(candidates, { engines, role, roleOf, openRequests })
    .slice(
      0,
      role === "decode"
        ? -missing
        : Math.min(missing, spareDecodeEngines(options)),
    )
    .map((endpoint) => ({ endpoint, role }));
}

/** Number of decode engines that the open answers can do without. */
function spareDecodeEngines(options: RolePlanOptions): number {
  const { changing, engines, openRequests } = options;
  const decodeEngines = engines.filter((engine) =>
    (changing.get(engine.id) ?? engine.role) !== "prefill"
  );
  const openAnswers = decodeEngines.reduce(
    (sum, engine) => sum + openRequests(engine.id),
    0,
  );
  let slots = decodeEngines.reduce((sum, engine) => sum + engine.slots, 0);
  let spare = 0;
  for (const engine of decodeEngines) {
    slots -= engine.slots;
    if (openAnswers > MAX_DECODE_SLOT_UTILIZATION * slots) break;
    spare += 1;
  }
  return spare;
}

interface SpreadOptions {
  readonly engines: readonly RegisteredEndpoint[];
  readonly role: string;
  readonly roleOf: (engine: RegisteredEndpoint) => string | undefined;
  readonly openRequests: (endpoint: EndpointId) => number;
}

/**
 * Orders the candidates by zone, those with the fewest engines of the role
 * first, so that the loss of a zone does not remove the whole role. Within a
 * zone the least busy engine comes first.
 */
function spreadOverZones(
  candidates: readonly RegisteredEndpoint[],
  options: SpreadOptions,
): RegisteredEndpoint[] {
  const zones = zonesOf(candidates, options);
  const ordered: RegisteredEndpoint[] = [];
  while (zones.length > 0) {
    const next = zones.reduce((best, zone) =>
      isPickedBefore(zone, best) ? zone : best
    );
    ordered.push(next.candidates[next.picked].endpoint);
    next.picked += 1;
    next.ofRole += 1;
    if (next.picked === next.candidates.length) {
      zones.splice(zones.indexOf(next), 1);
    }
  }
  return ordered;
}

interface Candidate {
  readonly endpoint: RegisteredEndpoint;
  readonly openRequests: number;
}

/** Candidates of a zone, ordered by open requests. */
interface ZoneCandidates {
  readonly candidates: readonly Candidate[];
  /** Number of candidates picked so far. */
  picked: number;
  /** Engines with the role, including the picked candidates. */
  ofRole: number;
}

function zonesOf(
  candidates: readonly RegisteredEndpoint[],
  { engines, openRequests, role, roleOf }: SpreadOptions,
): ZoneCandidates[] {
  const byZone = new Map<AvailabilityZoneId, Candidate[]>();
  for (const endpoint of candidates) {
    const zone = byZone.get(endpoint.availabilityZone) ?? [];
    zone.push({ endpoint, openRequests: openRequests(endpoint.id) });
    byZone.set(endpoint.availabilityZone, zone);
  }
  const ofRole = new Map<AvailabilityZoneId, number>();
  for (const engine of engines) {
    if (roleOf(engine) !== role) continue;
    const zone = engine.availabilityZone;
    ofRole.set(zone, (ofRole.get(zone) ?? 0) + 1);
  }
  return [...byZone].map(([zone, candidates]) => ({
    candidates: candidates.sort(byOpenRequests),
    picked: 0,
    ofRole: ofRole.get(zone) ?? 0,
  }));
}

function isPickedBefore(zone: ZoneCandidates, other: ZoneCandidates): boolean {
  if (zone.ofRole !== other.ofRole) return zone.ofRole < other.ofRole;
  return byOpenRequests(
    zone.candidates[zone.picked],
    other.candidates[other.picked],
  ) < 0;
}

function byOpenRequests(one: Candidate, other: Candidate): number {
  return one.openRequests - other.openRequests ||
    (one.endpoint.id < other.endpoint.id ? -1 : 1);
}
