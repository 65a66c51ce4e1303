import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStart,
} from "../../src/core/identity/mod.ts";
import type {
  ForwardedRequest,
  RegisteredEndpoint,
} from "../../src/core/forwarding/mod.ts";
import type { EntryFleet } from "./entry_fleet.ts";
import type { SentAttempt } from "./forwarding_bench.ts";

const WORK_MILLISECONDS = 40;
const READING_MILLISECONDS = 10;
/** From the beginning of a run to the crash that it brings about. */
const CRASH_MILLISECONDS = 30;
const DOWN_MILLISECONDS = 2_000;

/** Something that has reached a replica. */
interface Arrival {
  readonly request: string;
  readonly at: number;
}

export interface CrashingReplicasOptions {
  /** True for a request that crashes each replica that begins to run it. */
  readonly crashes: (request: ForwardedRequest) => boolean;
  /** True: a replica is back under the id that it had. */
  readonly keepsId?: boolean;
}

/** Replicas that crash under some requests and are back after a while. */
export class CrashingReplicas {
  /** When replicas have crashed under such a request. */
  readonly crashTimes: number[] = [];
  /** What reached the replicas of the requests that crash them. */
  readonly arrivals: Arrival[] = [];
  readonly #fleet: EntryFleet;
  readonly #options: CrashingReplicasOptions;
  readonly #open = new Map<EndpointId, Set<SentAttempt>>();
  readonly #down = new Set<EndpointId>();
  #starts = 0;

  constructor(fleet: EntryFleet, options: CrashingReplicasOptions) {
    this.#fleet = fleet;
    this.#options = options;
    fleet.onSend = (attempt) => this.#take(attempt);
  }

  /** Requests that crash replicas and reached one later than so long after. */
  retriesAfter(crash: number, milliseconds: number): number {
    const from = this.crashTimes[crash - 1] + milliseconds;
    const late = this.arrivals.filter(({ at }) => at > from);
    return new Set(late.map(({ request }) => request)).size;
  }

  /** The replica ends at once, and all that it runs with it. */
  crash(id: EndpointId): void {
    this.#down.add(id);
    const open = [...this.#open.get(id) ?? []];
    this.#open.delete(id);
    for (const attempt of open) {
      void attempt.end("cut");
      void attempt.fail("exchange_lost");
    }
    this.#fleet.timer.after(DOWN_MILLISECONDS, () => this.#startAgain(id));
  }

  #startAgain(id: EndpointId): void {
    this.#starts += 1;
    const startedAt = numbered<ReplicaStart>(this.#starts);
    const next = this.#options.keepsId
      ? id
      : identifier<EndpointId>(`${id}-${this.#starts}`);
    this.#down.delete(next);
    for (const { registry } of this.#fleet.entries) {
      const endpoint = registry.get(id) as RegisteredEndpoint;
      if (next !== id) registry.remove(id);
      registry.put({ ...endpoint, id: next, startedAt });
    }
  }

  #take(attempt: SentAttempt): void {
    const id = attempt.options.endpoint;
    if (this.#down.has(id)) return void attempt.fail("exchange_not_sent");
    const { timer } = this.#fleet;
    const crashes = this.#options.crashes(attempt.request);
    if (crashes) {
      const request = String(attempt.request.id);
      this.arrivals.push({ request, at: timer.now() });
    }
    if (attempt.options.prefillOnly) {
      timer.after(READING_MILLISECONDS, () => void attempt.answer("handle"));
      return;
    }
    this.#open.set(id, (this.#open.get(id) ?? new Set()).add(attempt));
    void attempt.head().then(() => attempt.piece("id: 1\ndata: x\n\n"));
    if (crashes) this.#crashSoon(id);
    else timer.after(WORK_MILLISECONDS, () => this.#finish(id, attempt));
  }

  #crashSoon(id: EndpointId): void {
    const { timer } = this.#fleet;
    timer.after(CRASH_MILLISECONDS, () => {
      if (this.#down.has(id)) return;
      this.crashTimes.push(timer.now());
      this.crash(id);
    });
  }

  #finish(id: EndpointId, attempt: SentAttempt): void {
    if (this.#open.get(id)?.delete(attempt)) void attempt.end();
  }
}
