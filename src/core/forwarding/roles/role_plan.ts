import type { AvailabilityZoneId, EndpointId } from "../../identity/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { RoleSample } from "./role_demand.ts";

/** Share of a pool's engines that read prompts, where each has many slots. */
const MAX_PREFILL_SHARE = 0.7;
/** Slots of an engine from which on that share fits. */
const SLOTS_FOR_MAX_PREFILL_SHARE = 64;
/**
 * Share of the engines that go from reading to answers each time that their
 * slots are half as many: answers that find no slot wait for seconds.
 */
const PREFILL_SHARE_PER_SLOT_HALVING = 0.1;
/**
 * Share that goes on reading, however few slots the engines have: how the work
 * is mixed is not known beforehand, and a burst of prompts needs them.
 */
const MIN_PREFILL_SHARE_BY_SLOTS = 0.6;
/** The same where the work was seen. */
const MIN_PREFILL_SHARE = 0.5;

/** Share of the engines that are to read prompts, by their slots. */
export function prefillShareOf(engines: readonly RegisteredEndpoint[]): number {
  const sum = engines.reduce((slots, engine) => slots + engine.slots, 0);
  const slots = Math.max(1, sum / engines.length);
  const halvings = Math.max(0, Math.log2(SLOTS_FOR_MAX_PREFILL_SHARE / slots));
  return Math.max(
    MIN_PREFILL_SHARE_BY_SLOTS,
    MAX_PREFILL_SHARE - PREFILL_SHARE_PER_SLOT_HALVING * halvings,
  );
}

/** Share of the time for which engines that read may be busy on average. */
const MAX_PREFILL_UTILIZATION = 0.6;

/**
 * The share for what the engines had to do: those that decode have slots to
 * spare for the answers, as far as the others can be spared from reading.
 */
export function prefillShareFor(
  engines: readonly RegisteredEndpoint[],
  demand: RoleSample | undefined,
): number {
  const bySlots = prefillShareOf(engines);
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
 * How far the engines of a role may be from their share. An engine that crashes is
 * back within seconds; replacing it would take two changes of role.
 */
const TOLERATED_DEVIATION_ENGINES = 0.75;
/**
 * Share of the slots that answers may take on the engines that decode.
 */
const MAX_DECODE_SLOT_UTILIZATION = 0.6;

/** A change of one engine's role. */
export interface RoleChange {
  readonly endpoint: RegisteredEndpoint;
  readonly role: "prefill" | "decode";
}

export interface RolePlanOptions {
  /** Engines of one pool that may get work. */
  readonly engines: readonly RegisteredEndpoint[];
  /** Requests that all entries have open at the engine. */
  readonly openRequests: (endpoint: EndpointId) => number;
  /** Engines whose change is under way, with the role they will have. */
  readonly changing: ReadonlyMap<EndpointId, "prefill" | "decode">;
  /** Share of the engines that are to read prompts; absent: what is known. */
  readonly prefillShare?: number;
}

/**
 * Which engines are to change their role. Few changes: each takes an engine
 * away for seconds, so nothing is changed while the count fits.
 */
export function planRoles(options: RolePlanOptions): RoleChange[] {
  const { engines, openRequests, changing } = options;
  if (engines.length < 2) return [];
  const roleOf = (engine: RegisteredEndpoint) =>
    changing.get(engine.id) ?? engine.role;
  const share = options.prefillShare ?? prefillShareOf(engines);
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

/** How many engines fewer still have slots for the answers that are open. */
function spareDecodeEngines(options: RolePlanOptions): number {
  const { changing, engines, openRequests } = options;
  const decodeEngines = engines.filter((engine) =>
    (changing.get(engine.id) ?? engine.role) !== "prefill"
  );
  const openAnswers = decodeEngines.reduce(
    (sum, maker) => sum + openRequests(maker.id),
    0,
  );
  let slots = decodeEngines.reduce((sum, maker) => sum + maker.slots, 0);
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
 * Orders the candidates: zones with the fewest engines of the role first, so
 * that the loss of a zone does not take all of them, then the least busy.
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

/** Candidates of a zone, the least busy first. */
interface ZoneCandidates {
  readonly candidates: readonly Candidate[];
  /** How many of them are ordered already. */
  picked: number;
  /** Engines that have the role, those included. */
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
