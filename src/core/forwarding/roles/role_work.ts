import type { ServiceName } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import { DecodeStepCosts, type StepSample } from "./decode_step_costs.ts";
import type { ObservedWork } from "./prefill_share.ts";
import { WorkSeries } from "./work_series.ts";

/** Seconds of work below which it is unknown; both kinds have come by then. */
const MIN_SECONDS = 4;
/**
 * Quantile of the work and of the open responses that the engines must cope
 * with. In bursts that alternate, each kind is high for a third to half of the
 * time.
 */
const HIGH_QUANTILE = 0.9;
/** Weight of earlier responses at each new one; about the last 200 count. */
const RETAINED_RESPONSES = 0.995;
const THOUSAND = 1_000;

/** Work that one prompt asks of a pool. */
export interface PromptDemand {
  /** Predicted time at a prefill engine; 0 if a decode engine prefills it. */
  readonly prefillMilliseconds: number;
  /** Predicted prefill time at a decode engine; 0 after a handover. */
  readonly inlineMilliseconds: number;
  readonly inputTokens: number;
  /** Maximum number of tokens in the response. */
  readonly outputTokens: number;
}

/**
 * What an entry's callers have asked of a pool since the entry started: number
 * of prompts, prefill milliseconds, inline prefill milliseconds, output tokens,
 * thousands of output tokens times context tokens, and output tokens of prompts
 * that are handed over. Running totals make up for lost reports.
 */
export type RoleWorkReport = readonly [
  pool: string,
  prompts: number,
  prefillMilliseconds: number,
  inlineMilliseconds: number,
  outputTokens: number,
  contextThousands: number,
  handoverTokens: number,
];
const TOTALS = 6;

type Totals = readonly number[];

/** The last totals that a peer has reported. */
interface PeerTotals {
  readonly incarnation: string;
  readonly at: number;
  readonly byPool: ReadonlyMap<string, Totals>;
}

/** Observations of one pool. */
interface PoolWork {
  readonly asked: WorkSeries;
  readonly steps: DecodeStepCosts;
  /** Events of responses and the tokens asked for; old responses fade. */
  events: number;
  askedTokens: number;
  /** Times and numbers of open responses at decode engines, oldest first. */
  open: { readonly at: number; readonly responses: number }[];
}

/** How long samples of open responses are kept. */
const OPEN_WINDOW_MILLISECONDS = 30_000;

/**
 * Work that callers ask of each pool, as a sum over the entries, and the costs
 * of the engines' decode steps, as learned by this entry.
 */
export class RoleWork {
  readonly #timer: TimerService;
  readonly #own = new Map<string, Totals>();
  readonly #peers = new Map<string, PeerTotals>();
  readonly #pools = new Map<string, PoolWork>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Records what a caller asks of the pool, also if it is refused later. */
  recordPrompt(pool: ServiceName, demand: PromptDemand): void {
    const { inputTokens, outputTokens } = demand;
    const work = [
      1,
      demand.prefillMilliseconds,
      demand.inlineMilliseconds,
      outputTokens,
      // The context grows by a token with each step.
      outputTokens * (inputTokens + outputTokens / 2) / THOUSAND,
      demand.prefillMilliseconds > 0 ? outputTokens : 0,
    ];
    const known = this.#own.get(pool);
    this.#own.set(pool, known === undefined ? work : sum(known, work));
    const now = this.#timer.now();
    this.#poolWork(pool).asked.add(work, { from: now, to: now });
  }

  /** Records the times between events of a response. */
  recordSteps(pool: ServiceName, sample: StepSample): void {
    this.#poolWork(pool).steps.record(sample);
  }

  /**
   * Records a response that has ended whole. Callers name the most tokens that
   * they accept; responses may have fewer.
   */
  recordResponse(
    pool: ServiceName,
    { asked, events }: { readonly asked: number; readonly events: number },
  ): void {
    const work = this.#poolWork(pool);
    work.events = RETAINED_RESPONSES * work.events + events;
    work.askedTokens = RETAINED_RESPONSES * work.askedTokens + asked;
  }

  /** Records the present number of open responses at decode engines. */
  recordOpen(pool: ServiceName, responses: number): void {
    const work = this.#poolWork(pool);
    const at = this.#timer.now();
    const oldest = at - OPEN_WINDOW_MILLISECONDS;
    work.open = work.open.filter((sample) => sample.at > oldest);
    work.open.push({ at, responses });
  }

  /** This entry's totals, for its peers. */
  report(): RoleWorkReport[] {
    return [...this.#own].map(([pool, totals]) =>
      [pool, ...totals.map(Math.round)] as unknown as RoleWorkReport
    );
  }

  /**
   * Records a peer's totals. The first report of a peer's run only shows where
   * its totals stand: how long they took is unknown.
   */
  recordPeerReport(
    peer: { readonly entry: string; readonly incarnation: string },
    reports: readonly RoleWorkReport[],
  ): void {
    const at = this.#timer.now();
    const known = this.#peers.get(peer.entry);
    const byPool = new Map(
      reports.map(([pool, ...totals]): [string, Totals] => [pool, totals]),
    );
    if (known?.incarnation === peer.incarnation) {
      if (isOlder(byPool, known.byPool)) return;
      for (const [pool, totals] of byPool) {
        const before = known.byPool.get(pool);
        const work = totals.map((total, index) =>
          total - (before?.[index] ?? 0)
        );
        this.#poolWork(pool).asked.add(work, { from: known.at, to: at });
      }
    }
    this.#peers.set(peer.entry, { incarnation: peer.incarnation, at, byPool });
  }

  /** Forgets peers that are not in the list of the fleet. */
  retainPeers(names: ReadonlySet<string>): void {
    for (const name of this.#peers.keys()) {
      if (!names.has(name)) this.#peers.delete(name);
    }
  }

  /**
   * The work of the last seconds; undefined while there is none, in its first
   * seconds, and while responses were asked for whose steps this entry has not
   * observed yet.
   */
  observed(pool: ServiceName): ObservedWork | undefined {
    const work = this.#pools.get(pool);
    const rates = work?.asked.rates(this.#timer.now()) ?? [];
    const isKnown = work !== undefined && rates.length >= MIN_SECONDS &&
      rates.some(([prompts]) => prompts > 0);
    const costs = work?.steps.costs;
    if (!isKnown || costs === undefined) return undefined;
    const eventsPerToken = work.askedTokens > 0
      ? Math.min(1, work.events / work.askedTokens)
      : 1;
    return {
      prefillEngines: highQuantile(rates.map(([, prefill]) => prefill)),
      decodeEngines: highQuantile(
        rates.map(([, , inline, tokens, contextThousands]) =>
          inline + eventsPerToken * (
              tokens * costs.millisecondsPerResponse +
              contextThousands * costs.millisecondsPerThousandTokens
            )
        ),
      ),
      responseSteps: eventsPerToken *
        highQuantile(rates.map(([, , , tokens]) => tokens)),
      handoverShare: shareOf(rates, { part: 5, whole: 3 }),
      openResponses: highQuantile(work.open.map(({ responses }) => responses)),
      stepMilliseconds: costs.stepMilliseconds,
      observedMilliseconds: rates.length * THOUSAND,
    };
  }

  #poolWork(pool: string): PoolWork {
    let work = this.#pools.get(pool);
    if (work === undefined) {
      work = {
        asked: new WorkSeries(TOTALS),
        steps: new DecodeStepCosts(),
        events: 0,
        askedTokens: 0,
        open: [],
      };
      this.#pools.set(pool, work);
    }
    return work;
  }
}

/** Checks that the value is a valid report of a pool's work. */
export function isRoleWorkReport(value: unknown): value is RoleWorkReport {
  return Array.isArray(value) && value.length === TOTALS + 1 &&
    typeof value[0] === "string" &&
    value.slice(1).every((total) => Number.isFinite(total) && total >= 0);
}

function sum(one: Totals, other: Totals): Totals {
  return one.map((value, index) => value + other[index]);
}

/** True for totals that a later report has overtaken. */
function isOlder(
  byPool: ReadonlyMap<string, Totals>,
  known: ReadonlyMap<string, Totals>,
): boolean {
  return [...known].some(([pool, totals]) =>
    totals.some((total, index) => (byPool.get(pool)?.[index] ?? 0) < total)
  );
}

/** Share of one value in another, over all seconds. */
function shareOf(
  rates: readonly Totals[],
  { part, whole }: { readonly part: number; readonly whole: number },
): number {
  const total = (index: number) =>
    rates.reduce((sum, rate) => sum + rate[index], 0);
  return total(whole) === 0 ? 0 : total(part) / total(whole);
}

function highQuantile(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(HIGH_QUANTILE * (sorted.length - 1))] ?? 0;
}
