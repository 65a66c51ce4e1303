import { seededRandom } from "../../src/core/random/mod.ts";
import type { EntryFleet } from "./entry_fleet.ts";
import { makeEndpoint, makeRequest } from "./forwarding_fixtures.ts";
import type { RecordingSink, SentAttempt } from "./forwarding_harness.ts";
import {
  identifier,
  numbered,
  type ReplicaStartTime,
  type RequestId,
} from "../../src/core/identity/mod.ts";
import type {
  ForwardedRequest,
  RegisteredEndpoint,
} from "../../src/core/forwarding/mod.ts";

const WORK_MILLISECONDS = 50;
const FAILURE_MILLISECONDS = 2;

/** How a replica fails a share of its attempts. */
export interface ReplicaFault {
  readonly share: number;
  /**
   * `lost`: breaks the connection; `cut`: breaks off the response. Default:
   * responds with an error.
   */
  readonly kind?: "error" | "lost" | "cut";
  /** Only attempts of this entry fail, as if its link were broken. */
  readonly entry?: number;
  /** Time until a failure; short by default, as failing is less work. */
  readonly milliseconds?: number;
}

/** Replicas that send a work factor and fail a part of their attempts. */
export class FailingReplicas {
  readonly faults = new Map<string, ReplicaFault>();
  /** Failure rate of requests by path, at every replica alike. */
  readonly kindRates = new Map<string, number>();
  /** Attempts by replica since the last reset. */
  readonly attempts = new Map<string, number>();
  /** Sent with every response; undefined for replicas that send none. */
  workFactor: number | undefined = 1;
  readonly #fleet: EntryFleet;
  readonly #random = seededRandom(5);
  #lastId = 0;

  constructor(fleet: EntryFleet) {
    this.#fleet = fleet;
    fleet.onSend = (attempt) => void this.#handle(attempt);
  }

  static endpoints(count: number): RegisteredEndpoint[] {
    return Array.from(
      { length: count },
      (_, index) =>
        makeEndpoint(`replica-${index}`, {
          startedAt: numbered<ReplicaStartTime>(1_000),
        }),
    );
  }

  /** Sends requests at random times and entries; returns their sinks. */
  async run(
    { milliseconds, perSecond, entries, paths = ["/a/x"], values }: {
      readonly milliseconds: number;
      readonly perSecond: number;
      /** Entries that get requests; all by default. */
      readonly entries?: readonly number[];
      readonly paths?: readonly string[];
      /** Further values of the requests. */
      readonly values?: Partial<ForwardedRequest>;
    },
  ): Promise<RecordingSink[]> {
    const sinks: RecordingSink[] = [];
    const all = this.#fleet.entries.map((_, index) => index);
    const used = entries ?? all;
    for (let passed = 0; passed < milliseconds; passed += 1) {
      let due = perSecond / 1_000;
      for (; this.#random() < due; due -= 1) {
        this.#lastId += 1;
        const request = makeRequest({
          id: identifier<RequestId>(`request-${this.#lastId}`),
          target: paths[Math.floor(paths.length * this.#random())],
          ...values,
        });
        const entry = used[Math.floor(used.length * this.#random())];
        sinks.push(this.#fleet.submit(entry, request));
      }
      await this.#fleet.timer.advance(1);
    }
    return sinks;
  }

  async #handle(attempt: SentAttempt): Promise<void> {
    const replica = String(attempt.options.endpoint);
    this.attempts.set(replica, (this.attempts.get(replica) ?? 0) + 1);
    const fault = this.faults.get(replica);
    const isAffected = fault !== undefined &&
      (fault.entry === undefined || fault.entry === attempt.entry);
    const isFaulty = isAffected && this.#random() < fault.share;
    const kindRate = this.kindRates.get(attempt.request.target) ?? 0;
    const fails = isFaulty || this.#random() < kindRate;
    const milliseconds = isFaulty
      ? fault.milliseconds ?? FAILURE_MILLISECONDS
      : WORK_MILLISECONDS * (0.5 + this.#random());
    await new Promise<void>((resolve) => {
      this.#fleet.timer.after(milliseconds, resolve);
    });
    if (isFaulty && fault.kind === "lost") {
      return await attempt.fail("exchange_lost");
    }
    const { workFactor } = this;
    const load = { running: 1, waiting: 0, slots: 6, workFactor };
    const isCut = isFaulty && fault.kind === "cut";
    await attempt.head({ status: fails && !isCut ? 500 : 200, load });
    await attempt.chunk("id: 1\ndata: done\n\n");
    await attempt.end(isCut ? "cut" : "whole");
  }
}
