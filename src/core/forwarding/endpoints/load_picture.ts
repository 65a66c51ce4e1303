import type { EndpointId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/**
 * How long a peer's report counts: longer than several lost datagrams in a row,
 * and short enough that a dead entry's work does not keep its endpoints looking
 * busy.
 */
const REPORT_MILLISECONDS = 1_000;

/**
 * How long an owner's word goes before what peers report. It is asked for right
 * before something is placed, and own work since then is added to it.
 */
const OWNERS_WORD_MILLISECONDS = 100;

/** Work of one entry that an endpoint has not finished. */
export interface OpenWork {
  readonly requests: number;
  /** Prompt reading that is ahead, milliseconds of the engine. */
  readonly prefillMilliseconds: number;
  /** Memory that the requests take up at an engine, tokens. */
  readonly tokens: number;
}

/** One entry's open work by endpoint, as it goes to its peers. */
export type WorkReport = readonly (readonly [
  endpoint: string,
  requests: number,
  prefillMilliseconds: number,
  tokens: number,
])[];

/** What a peer tells of its open work. */
export interface PeerWork {
  /** Start of the peer's run; a restarted peer counts from the beginning. */
  readonly incarnation: string;
  readonly sequence: number;
  /** False: only what has changed since the report before. */
  readonly whole: boolean;
  readonly work: WorkReport;
}

interface PeerReport {
  readonly peer: string;
  readonly incarnation: string;
  sequence: number;
  at: number;
  readonly work: Map<string, OpenWork>;
}

/** What an endpoint's owner told of the other entries' work there. */
interface OwnersWord {
  readonly work: OpenWork;
  readonly at: number;
}

/** Held while an endpoint works on something. */
export interface WorkTicket {
  /** The work has ended; further calls do nothing. */
  end(): void;
}

/** Own work at one run of an endpoint; its tickets write to no other. */
interface Ledger {
  work: OpenWork;
}

const NO_WORK: OpenWork = {
  requests: 0,
  prefillMilliseconds: 0,
  tokens: 0,
};

/** What a request for a model brings to an engine. */
export interface PromptWork {
  /** Prompt reading. */
  readonly milliseconds: number;
  /** Memory that it takes up there while it is open. */
  readonly tokens: number;
}

/** A request that brings no prompt. */
export const NO_PROMPT: PromptWork = { milliseconds: 0, tokens: 0 };

/**
 * What every entry has under way at each endpoint. An endpoint's own report is
 * as old as its last answer, and all entries would follow it to the same
 * engine.
 */
export class LoadPicture {
  readonly #timer: TimerService;
  readonly #own = new Map<EndpointId, Ledger>();
  readonly #peers = new Map<string, PeerReport>();
  /** The reports that name an endpoint; most name few of a large fleet's. */
  readonly #reportsAt = new Map<string, Set<PeerReport>>();
  /** Others' work as the endpoints' owners have told it. */
  readonly #owners = new Map<EndpointId, OwnersWord>();
  /** Endpoints whose open work has changed since the last report. */
  readonly #changed = new Set<EndpointId>();
  #onOwnChange: (endpoint: EndpointId) => void = () => {};

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  started(endpoint: EndpointId, prompt: PromptWork = NO_PROMPT): WorkTicket {
    const { milliseconds, tokens } = prompt;
    const ledger = this.#own.get(endpoint) ?? { work: NO_WORK };
    this.#own.set(endpoint, ledger);
    this.#add(endpoint, ledger, {
      requests: 1,
      prefillMilliseconds: milliseconds,
      tokens,
    });
    let open = true;
    return {
      end: () => {
        if (!open) return;
        open = false;
        this.#add(endpoint, ledger, {
          requests: -1,
          prefillMilliseconds: -milliseconds,
          tokens: -tokens,
        });
      },
    };
  }

  /** Own work at the endpoint. */
  own(endpoint: EndpointId): OpenWork {
    return this.#own.get(endpoint)?.work ?? NO_WORK;
  }

  /** Work of all entries at the endpoint. */
  total(endpoint: EndpointId): OpenWork {
    const told = this.#owners.get(endpoint);
    const isFresh = told !== undefined &&
      this.#timer.now() - told.at <= OWNERS_WORD_MILLISECONDS;
    const others = isFresh ? told.work : this.others(endpoint);
    return addWork(this.own(endpoint), others);
  }

  /** Work of the peers at the endpoint, by their reports; without that of one. */
  others(endpoint: EndpointId, except?: string): OpenWork {
    const oldest = this.#timer.now() - REPORT_MILLISECONDS;
    let sum = NO_WORK;
    for (const report of this.#reportsAt.get(endpoint) ?? []) {
      const work = report.work.get(endpoint);
      const counts = work !== undefined && report.peer !== except &&
        report.at >= oldest;
      if (counts) sum = addWork(sum, work);
    }
    return sum;
  }

  /** The endpoint's owner has told of the others' work there. */
  ownerTold(endpoint: EndpointId, others: OpenWork): void {
    this.#owners.set(endpoint, { work: others, at: this.#timer.now() });
  }

  /** Takes who is told at once of an endpoint at which own work changes. */
  onOwnChange(listener: (endpoint: EndpointId) => void): void {
    this.#onOwnChange = listener;
  }

  /**
   * Own open work, for the peers: all of it, or what has changed since the last
   * report.
   */
  report(options: { readonly whole: boolean }): WorkReport {
    const endpoints = options.whole ? this.#own.keys() : this.#changed;
    const report = this.reportOf(endpoints);
    this.#changed.clear();
    return report;
  }

  /** Own open work at these endpoints. */
  reportOf(endpoints: Iterable<EndpointId>): WorkReport {
    return [...endpoints].map((endpoint) =>
      workRow(endpoint, this.own(endpoint))
    );
  }

  /** True where there is something to tell peers. */
  get hasChanged(): boolean {
    return this.#changed.size > 0;
  }

  /** Takes a peer's report; an older one that comes late changes nothing. */
  peerReported(peer: string, told: PeerWork): void {
    const known = this.#peers.get(peer);
    const isSameRun = known?.incarnation === told.incarnation;
    if (isSameRun && told.sequence <= known.sequence) return;
    if (known !== undefined && (!isSameRun || told.whole)) {
      for (const endpoint of known.work.keys()) this.#leaveOut(known, endpoint);
    }
    const report: PeerReport = isSameRun && !told.whole ? known : {
      peer,
      incarnation: told.incarnation,
      sequence: 0,
      at: 0,
      work: new Map(),
    };
    report.sequence = told.sequence;
    report.at = this.#timer.now();
    for (const [endpoint, requests, prefill, tokens] of told.work) {
      if (requests <= 0) this.#leaveOut(report, endpoint);
      else {
        const reports = this.#reportsAt.get(endpoint) ?? new Set();
        this.#reportsAt.set(endpoint, reports.add(report));
        report.work.set(endpoint, {
          requests,
          prefillMilliseconds: prefill,
          tokens,
        });
      }
    }
    this.#peers.set(peer, report);
  }

  /**
   * The endpoint's run is over, and with it all work there. Work that was
   * begun before ends without a trace; peers' reports of it are dropped.
   */
  forget({ id }: { readonly id: EndpointId }): void {
    if (this.#own.delete(id)) this.#changed.add(id);
    this.#owners.delete(id);
    for (const report of this.#reportsAt.get(id) ?? []) report.work.delete(id);
    this.#reportsAt.delete(id);
  }

  #leaveOut(report: PeerReport, endpoint: string): void {
    report.work.delete(endpoint);
    const reports = this.#reportsAt.get(endpoint);
    reports?.delete(report);
    if (reports?.size === 0) this.#reportsAt.delete(endpoint);
  }

  #add(endpoint: EndpointId, ledger: Ledger, change: OpenWork): void {
    ledger.work = addWork(ledger.work, change);
    if (this.#own.get(endpoint) !== ledger) return;
    this.#changed.add(endpoint);
    if (ledger.work.requests <= 0) this.#own.delete(endpoint);
    this.#onOwnChange(endpoint);
  }
}

/** Work as it is told between entries. */
export function workRow(
  endpoint: EndpointId,
  { prefillMilliseconds, requests, tokens }: OpenWork,
): WorkReport[number] {
  return [
    endpoint,
    requests,
    Math.round(prefillMilliseconds),
    Math.round(tokens),
  ];
}

/** The work of both together. */
export function addWork(one: OpenWork, other: OpenWork): OpenWork {
  return {
    requests: one.requests + other.requests,
    prefillMilliseconds: one.prefillMilliseconds + other.prefillMilliseconds,
    tokens: one.tokens + other.tokens,
  };
}
