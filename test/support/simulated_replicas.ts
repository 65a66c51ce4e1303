import type { EndpointLoadReport } from "../../src/core/forwarding/mod.ts";
import { type Random, seededRandom } from "../../src/core/random/mod.ts";
import type { SentAttempt } from "./forwarding_harness.ts";
import type { AttemptSource } from "./simulated_engines.ts";

const MIN_WORK_MILLISECONDS = 20;
const WORK_SPREAD_MILLISECONDS = 25;
const SLOTS = 6;
const MAX_WAITING = 24;
const PERCENT = 100;

/** A replica of a plain service with slots, a speed and a work factor. */
export interface SimulatedReplica {
  /** Lasting speed; 1 is usual. */
  speed: number;
  /** Work factor at this time, milliseconds. */
  factor: (now: number) => number;
  /** Factor that it reports instead of its own. */
  reportedFactor?: number;
  /** True while its work makes no progress; it reports no running requests. */
  isStalled?: boolean;
  readonly running: Set<SentAttempt>;
  readonly waiting: SentAttempt[];
}

/**
 * Replicas that run requests in slots, queue some more, and reject the rest. A
 * request that was sent while a replica stalls never ends there.
 */
export class SimulatedReplicas {
  readonly #source: AttemptSource;
  readonly #replicas = new Map<string, SimulatedReplica>();
  readonly #random: Random = seededRandom(5);
  /** False: reports have three figures, as those of earlier pools. */
  readonly #hasFactors: boolean;
  /** Number of times that each request began to run, by request id. */
  readonly runs = new Map<string, number>();
  /** Number of requests that each replica has received. */
  readonly received = new Map<string, number>();
  rejected = 0;
  /** Returns what remains of a report in transit. */
  intercept: (
    load: EndpointLoadReport,
  ) => EndpointLoadReport | undefined = (load) => load;

  constructor(source: AttemptSource, { hasFactors = true } = {}) {
    this.#source = source;
    this.#hasFactors = hasFactors;
    source.onSend = (attempt) => this.#onAttempt(attempt);
  }

  add(id: string, values: Partial<SimulatedReplica> = {}): SimulatedReplica {
    const replica: SimulatedReplica = {
      speed: 1,
      factor: () => 1,
      running: new Set(),
      waiting: [],
      ...values,
    };
    this.#replicas.set(id, replica);
    return replica;
  }

  #onAttempt(attempt: SentAttempt): void {
    const id = String(attempt.options.endpoint);
    const replica = this.#replicas.get(id) as SimulatedReplica;
    this.received.set(id, (this.received.get(id) ?? 0) + 1);
    if (replica.isStalled) return;
    if (replica.running.size < SLOTS) this.#run(replica, attempt);
    else if (replica.waiting.length < MAX_WAITING) {
      replica.waiting.push(attempt);
    } else {
      this.rejected += 1;
      const load = this.#report(replica);
      void attempt.respond("", { status: 503, notExecuted: true, load });
    }
  }

  #run(replica: SimulatedReplica, attempt: SentAttempt): void {
    const { timer } = this.#source;
    const { id } = attempt.request;
    replica.running.add(attempt);
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    const work = MIN_WORK_MILLISECONDS +
      WORK_SPREAD_MILLISECONDS * this.#random();
    const milliseconds = work * replica.factor(timer.now()) / replica.speed;
    timer.after(milliseconds, () => this.#end(replica, attempt));
  }

  #end(replica: SimulatedReplica, attempt: SentAttempt): void {
    if (replica.isStalled) return;
    replica.running.delete(attempt);
    void attempt.respond("done", { load: this.#report(replica) });
    let next = replica.waiting.shift();
    while (next?.aborted) next = replica.waiting.shift();
    if (next !== undefined) this.#run(replica, next);
  }

  #report(replica: SimulatedReplica): EndpointLoadReport | undefined {
    const factor = replica.reportedFactor ??
      replica.factor(this.#source.timer.now());
    return this.intercept({
      running: replica.running.size,
      waiting: replica.waiting.length,
      slots: SLOTS,
      ...(this.#hasFactors &&
        { workFactor: Math.round(factor * PERCENT) / PERCENT }),
    });
  }
}
