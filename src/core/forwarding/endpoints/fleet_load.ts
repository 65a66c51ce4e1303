import type { EndpointId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/**
 * Time that a peer's report is valid: longer than the loss of several
 * successive datagrams, and short enough that the work of a dead entry does not
 * make its endpoints appear busy.
 */
const PEER_REPORT_VALIDITY_MILLISECONDS = 1_000;

/**
 * Time that an owner's report takes precedence over the reports of peers. It is
 * queried right before a placement, and own work since then is added to it.
 */
const OWNER_REPORT_VALIDITY_MILLISECONDS = 100;

/** Unfinished work of one entry at an endpoint. */
export interface OpenWork {
  readonly requests: number;
  /** Prompt processing that is queued, milliseconds of the engine. */
  readonly prefillMilliseconds: number;
  /** Memory that the requests occupy at an engine, tokens. */
  readonly tokens: number;
}

/** One entry's open work by endpoint, as sent to its peers. */
export type WorkReport = readonly (readonly [
  endpoint: string,
  requests: number,
  prefillMilliseconds: number,
  tokens: number,
])[];

/** A peer's report of its open work. */
export interface PeerWork {
  /**
   * Identifies the peer's run; a restarted peer numbers its reports from the
   * start.
   */
  readonly incarnation: string;
  readonly sequence: number;
  /** False if the report contains only changes since the previous one. */
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

/** An owner's report of the other entries' work at an endpoint. */
interface OwnerReport {
  readonly work: OpenWork;
  readonly at: number;
}

/** Handle of an endpoint's open work. */
export interface WorkHandle {
  /** Ends the prompt processing; the rest of the work stays open. */
  endPrefill(): void;
  /** Ends the work; further calls do nothing. */
  end(): void;
}

/**
 * Own work at one run of an endpoint; handles of earlier runs do not change it.
 */
interface OwnWork {
  work: OpenWork;
}

const NO_WORK: OpenWork = {
  requests: 0,
  prefillMilliseconds: 0,
  tokens: 0,
};

/** Work that a request for a model adds to an engine. */
export interface PromptWork {
  /** Time to process the prompt. */
  readonly milliseconds: number;
  /** Memory that it occupies there while it is open. */
  readonly tokens: number;
}

/** The work of a request without a prompt. */
export const NO_PROMPT_WORK: PromptWork = { milliseconds: 0, tokens: 0 };

/**
 * Open work of all entries at each endpoint. An endpoint's own report is only
 * as recent as its last response, and all entries would choose the same engine
 * by it.
 */
export class FleetLoad {
  readonly #timer: TimerService;
  readonly #own = new Map<EndpointId, OwnWork>();
  readonly #peers = new Map<string, PeerReport>();
  /**
   * The reports that name an endpoint; most reports name few endpoints of a
   * large fleet.
   */
  readonly #reportsAt = new Map<string, Set<PeerReport>>();
  /** Other entries' work, as reported by the endpoints' owners. */
  readonly #ownerReports = new Map<EndpointId, OwnerReport>();
  /** Endpoints whose open work has changed since the last report. */
  readonly #changed = new Set<EndpointId>();
  #onOwnChange: (endpoint: EndpointId) => void = () => {};

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  started(
    endpoint: EndpointId,
    prompt: PromptWork = NO_PROMPT_WORK,
  ): WorkHandle {
    const { milliseconds, tokens } = prompt;
    const ownWork = this.#own.get(endpoint) ?? { work: NO_WORK };
    this.#own.set(endpoint, ownWork);
    this.#add(endpoint, ownWork, {
      requests: 1,
      prefillMilliseconds: milliseconds,
      tokens,
    });
    let isOpen = true;
    let openMilliseconds = milliseconds;
    return {
      endPrefill: () => {
        if (!isOpen || openMilliseconds === 0) return;
        this.#add(endpoint, ownWork, {
          requests: 0,
          prefillMilliseconds: -openMilliseconds,
          tokens: 0,
        });
        openMilliseconds = 0;
      },
      end: () => {
        if (!isOpen) return;
        isOpen = false;
        this.#add(endpoint, ownWork, {
          requests: -1,
          prefillMilliseconds: -openMilliseconds,
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
    const others = this.#freshOwnerReport(endpoint) ?? this.others(endpoint);
    return addWork(this.own(endpoint), others);
  }

  /** True if the total is by a recent report of the endpoint's owner. */
  hasOwnerReport(endpoint: EndpointId): boolean {
    return this.#freshOwnerReport(endpoint) !== undefined;
  }

  /**
   * Work of the peers at the endpoint by their reports, except for one peer.
   */
  others(endpoint: EndpointId, except?: string): OpenWork {
    const oldest = this.#timer.now() - PEER_REPORT_VALIDITY_MILLISECONDS;
    let sum = NO_WORK;
    for (const report of this.#reportsAt.get(endpoint) ?? []) {
      const work = report.work.get(endpoint);
      const isCounted = work !== undefined && report.peer !== except &&
        report.at >= oldest;
      if (isCounted) sum = addWork(sum, work);
    }
    return sum;
  }

  /** Records the owner's report of the other entries' work at the endpoint. */
  recordOwnerReport(endpoint: EndpointId, others: OpenWork): void {
    this.#ownerReports.set(endpoint, { work: others, at: this.#timer.now() });
  }

  /** Sets the listener that is called when own work at an endpoint changes. */
  onOwnChange(listener: (endpoint: EndpointId) => void): void {
    this.#onOwnChange = listener;
  }

  /**
   * Own open work for the peers: all of it, or the changes since the last
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
      encodeWork(endpoint, this.own(endpoint))
    );
  }

  /** Returns whether there are changes to report to peers. */
  get hasUnreported(): boolean {
    return this.#changed.size > 0;
  }

  /**
   * Applies a peer's report; one that is older than the last report is ignored.
   */
  applyPeerReport(peer: string, reported: PeerWork): void {
    const known = this.#peers.get(peer);
    const isSameRun = known?.incarnation === reported.incarnation;
    if (isSameRun && reported.sequence <= known.sequence) return;
    if (known !== undefined && (!isSameRun || reported.whole)) {
      for (const endpoint of known.work.keys()) this.#remove(known, endpoint);
    }
    const report: PeerReport = isSameRun && !reported.whole ? known : {
      peer,
      incarnation: reported.incarnation,
      sequence: 0,
      at: 0,
      work: new Map(),
    };
    report.sequence = reported.sequence;
    report.at = this.#timer.now();
    for (
      const [endpoint, requests, prefillMilliseconds, tokens] of reported.work
    ) {
      if (requests <= 0) this.#remove(report, endpoint);
      else {
        const reports = this.#reportsAt.get(endpoint) ?? new Set();
        this.#reportsAt.set(endpoint, reports.add(report));
        report.work.set(endpoint, {
          requests,
          prefillMilliseconds,
          tokens,
        });
      }
    }
    this.#peers.set(peer, report);
  }

  /**
   * Discards all work at the endpoint, as its run is over. Handles of earlier
   * work have no effect any more, and peers' reports of it are dropped.
   */
  forget({ id }: { readonly id: EndpointId }): void {
    if (this.#own.delete(id)) this.#changed.add(id);
    this.#ownerReports.delete(id);
    for (const report of this.#reportsAt.get(id) ?? []) report.work.delete(id);
    this.#reportsAt.delete(id);
  }

  #freshOwnerReport(endpoint: EndpointId): OpenWork | undefined {
    const report = this.#ownerReports.get(endpoint);
    const isFresh = report !== undefined &&
      this.#timer.now() - report.at <= OWNER_REPORT_VALIDITY_MILLISECONDS;
    return isFresh ? report.work : undefined;
  }

  #remove(report: PeerReport, endpoint: string): void {
    report.work.delete(endpoint);
    const reports = this.#reportsAt.get(endpoint);
    reports?.delete(report);
    if (reports?.size === 0) this.#reportsAt.delete(endpoint);
  }

  #add(endpoint: EndpointId, ownWork: OwnWork, change: OpenWork): void {
    ownWork.work = addWork(ownWork.work, change);
    if (this.#own.get(endpoint) !== ownWork) return;
    this.#changed.add(endpoint);
    if (ownWork.work.requests <= 0) this.#own.delete(endpoint);
    this.#onOwnChange(endpoint);
  }
}

/** Encodes work for a report to other entries. */
export function encodeWork(
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

export function addWork(left: OpenWork, right: OpenWork): OpenWork {
  return {
    requests: left.requests + right.requests,
    prefillMilliseconds: left.prefillMilliseconds + right.prefillMilliseconds,
    tokens: left.tokens + right.tokens,
  };
}
