import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStartTime,
} from "../../src/core/identity/mod.ts";
import type {
  ForwardedRequest,
  RegisteredEndpoint,
} from "../../src/core/forwarding/mod.ts";
import type { EntryFleet } from "./entry_fleet.ts";
import type { SentAttempt } from "./forwarding_harness.ts";

const DECODE_MILLISECONDS = 40;
const PREFILL_MILLISECONDS = 10;
/** From the start of a run to the crash that it causes. */
const CRASH_DELAY_MILLISECONDS = 30;
/** From a crash to the restart of the replica. */
const RESTART_DELAY_MILLISECONDS = 2_000;

/** A request that has reached a replica. */
interface Arrival {
  readonly request: string;
  readonly at: number;
}

export interface CrashingReplicasOptions {
  /** Whether a request crashes each replica that starts to run it. */
  readonly crashes: (request: ForwardedRequest) => boolean;
  /** Whether a replica keeps its id across a restart. */
  readonly keepsId?: boolean;
}

/** Replicas that crash on some requests and restart after a delay. */
export class CrashingReplicas {
  /** Times at which replicas crashed on a request, milliseconds. */
  readonly crashTimes: number[] = [];
  /** Arrivals at replicas of requests that crash them. */
  readonly arrivals: Arrival[] = [];
  readonly #fleet: EntryFleet;
  readonly #options: CrashingReplicasOptions;
  readonly #openAttempts = new Map<EndpointId, Set<SentAttempt>>();
  readonly #down = new Set<EndpointId>();
  #restarts = 0;

  constructor(fleet: EntryFleet, options: CrashingReplicasOptions) {
    this.#fleet = fleet;
    this.#options = options;
    fleet.onSend = (attempt) => this.#handleAttempt(attempt);
  }

  /**
   * Number of distinct crashing requests that reached a replica later than the
   * given time after the n-th crash, counted from 1.
   */
  arrivalsAfter(crash: number, milliseconds: number): number {
    const after = this.crashTimes[crash - 1] + milliseconds;
    const lateArrivals = this.arrivals.filter(({ at }) => at > after);
    return new Set(lateArrivals.map(({ request }) => request)).size;
  }

  /** Crashes a replica and breaks off everything that it runs. */
  crash(id: EndpointId): void {
    this.#down.add(id);
    const open = [...this.#openAttempts.get(id) ?? []];
    this.#openAttempts.delete(id);
    for (const attempt of open) {
      void attempt.end("cut");
      void attempt.fail("exchange_lost");
    }
    this.#fleet.timer.after(
      RESTART_DELAY_MILLISECONDS,
      () => this.#restart(id),
    );
  }

  #restart(id: EndpointId): void {
    this.#restarts += 1;
    const startedAt = numbered<ReplicaStartTime>(this.#restarts);
    const newId = this.#options.keepsId
      ? id
      : identifier<EndpointId>(`${id}-${this.#restarts}`);
    this.#down.delete(newId);
    for (const { registry } of this.#fleet.entries) {
      const endpoint = registry.get(id) as RegisteredEndpoint;
      if (newId !== id) registry.remove(id);
      registry.upsert({ ...endpoint, id: newId, startedAt });
    }
  }

  #handleAttempt(attempt: SentAttempt): void {
    const id = attempt.options.endpoint;
    if (this.#down.has(id)) return void attempt.fail("exchange_not_sent");
    const { timer } = this.#fleet;
    const crashes = this.#options.crashes(attempt.request);
    if (crashes) {
      const request = String(attempt.request.id);
      this.arrivals.push({ request, at: timer.now() });
    }
    if (attempt.options.prefillOnly) {
      timer.after(PREFILL_MILLISECONDS, () => void attempt.respond("handle"));
      return;
    }
    this.#openAttempts.set(
      id,
      (this.#openAttempts.get(id) ?? new Set()).add(attempt),
    );
    void attempt.head().then(() => attempt.chunk("id: 1\ndata: x\n\n"));
    if (crashes) this.#scheduleCrash(id);
    else timer.after(DECODE_MILLISECONDS, () => this.#finish(id, attempt));
  }

  #scheduleCrash(id: EndpointId): void {
    const { timer } = this.#fleet;
    timer.after(CRASH_DELAY_MILLISECONDS, () => {
      if (this.#down.has(id)) return;
      this.crashTimes.push(timer.now());
      this.crash(id);
    });
  }

  #finish(id: EndpointId, attempt: SentAttempt): void {
    if (this.#openAttempts.get(id)?.delete(attempt)) void attempt.end();
  }
}
