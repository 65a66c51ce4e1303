import { ClaimKeeper, OrdersFold } from "../core/authority/mod.ts";
import type { ClaimView } from "../core/authority/mod.ts";
import {
  ConfigurationFold,
  ConfigurationJudge,
} from "../core/configuration/mod.ts";
import type { Incarnation, ProcessId, RegionId } from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import { Journal } from "../core/journal/mod.ts";
import type { LogService, StreamFold } from "../core/journal/mod.ts";
import type {
  EntryLink,
  PeerAddress,
  StreamSnapshot,
} from "../core/links/mod.ts";
import type { Logger, Tell } from "../core/observation/mod.ts";
import { OnceFold } from "../core/once/mod.ts";
import { targetText } from "../core/orders/mod.ts";
import type { Random } from "../core/random/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";

import type { EntryGuards } from "./guards.ts";

type StreamKind = "configuration" | "orders" | "once";

const STREAM_KINDS: readonly StreamKind[] = ["configuration", "orders", "once"];

/** Some peers are enough; asking all 40 of a region would be a storm. */
const MOST_PEERS_ASKED = 5;

/**
 * How long a caller's key may wait for its place on the log. Load: an outage
 * or a slow log. Harm prevented: a booking that can't be made holds its caller
 * on a silent line. An append takes some tens of milliseconds.
 */
const ONCE_APPEND_MILLISECONDS = 1_500;

export interface RegionLogOptions {
  readonly name: ProcessId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly timer: TimerService;
  readonly random: Random;
  readonly log: LogService;
  readonly entries: EntryLink;
  /** The region's other entries, to take state from while the log is down. */
  readonly peers: () => readonly PeerAddress[];
  readonly times: {
    readonly appendDelayMilliseconds: number;
    readonly claimSilenceMilliseconds: number;
    readonly checkpointRecords: number;
    readonly keyWindowMilliseconds: number;
  };
  readonly logger: Logger;
  readonly guards?: EntryGuards;
  readonly tell: Tell;
  /** False while this process must not take a claim, as when it leaves. */
  readonly eligible: () => boolean;
  /** The configuration stream has moved on. */
  readonly onConfiguration: () => void;
  /** The orders stream has moved on. */
  readonly onOrders: () => void;
}

/**
 * One entry's view of its region's three streams, and the claims that it may
 * hold on them. The streams are apart so that a burst of idempotency keys
 * delays neither a publication nor an order.
 */
export class RegionLog {
  readonly configuration: ConfigurationFold;
  readonly orders: OrdersFold;
  readonly once: OnceFold;
  readonly journals: Readonly<Record<StreamKind, Journal>>;
  readonly judgeClaim: ClaimKeeper;
  readonly plannerClaim: ClaimKeeper;
  readonly #options: RegionLogOptions;
  readonly #judge: ConfigurationJudge;
  readonly #reachable = new Map<string, boolean>();
  #judging: Subscription | undefined;

  constructor(options: RegionLogOptions) {
    this.#options = options;
    const { guards } = options;
    this.configuration = new ConfigurationFold({
      guards: guards?.configuration,
    });
    this.orders = this.#makeOrdersFold();
    this.once = this.#makeOnceFold();
    this.journals = {
      configuration: this.#openJournal("configuration", this.configuration),
      orders: this.#openJournal("orders", this.orders),
      once: this.#openJournal("once", this.once),
    };
    this.judgeClaim = this.#makeClaim("configuration", {
      view: this.configuration,
      onGained: () => this.#judge.consider(),
    });
    this.plannerClaim = this.#makeClaim("orders", { view: this.orders });
    this.#judge = new ConfigurationJudge({
      journal: this.journals.configuration,
      fold: this.configuration,
      heldClaim: () => this.judgeClaim.held?.offset,
    });
  }

  start(): void {
    for (const journal of Object.values(this.journals)) journal.start();
    this.judgeClaim.start();
    this.plannerClaim.start();
    this.#judging = this.#options.timer.every(
      this.#options.times.claimSilenceMilliseconds,
      () => this.#judge.consider(),
    );
  }

  /** Gives up the claims, so that another entry takes them without a wait. */
  async handOver(): Promise<void> {
    await Promise.all([this.judgeClaim.stop(), this.plannerClaim.stop()]);
  }

  stop(): void {
    this.#judging?.cancel();
    for (const journal of Object.values(this.journals)) journal.stop();
  }

  /** State of one of the region's streams by its name, for a peer. */
  snapshot(stream: string): StreamSnapshot | undefined {
    const kind = STREAM_KINDS.find((each) => this.#streamName(each) === stream);
    return kind && this.journals[kind].snapshot();
  }

  #streamName(kind: StreamKind): string {
    return `${kind}.${this.#options.region}`;
  }

  #openJournal(kind: StreamKind, fold: StreamFold): Journal {
    const { log, timer, random, name, incarnation, times } = this.#options;
    const stream = this.#streamName(kind);
    return new Journal({
      log,
      stream: identifier(stream),
      fold,
      timer,
      random,
      writer: name,
      incarnation,
      appendDelayMilliseconds: times.appendDelayMilliseconds,
      checkpointRecords: times.checkpointRecords,
      ...(kind === "once" && { giveUpMilliseconds: ONCE_APPEND_MILLISECONDS }),
      peers: () => this.#askPeers(stream),
      onApplied: () => this.#onRecord(kind),
      // The newest record may be one that counts for nothing.
      onPage: () => this.#onRecord(kind),
      onRestored: () => this.#onRecord(kind),
      onState: (reachable) => this.#onReachable(stream, reachable),
    });
  }

  #onRecord(kind: StreamKind): void {
    if (kind === "configuration") {
      this.judgeClaim.changed();
      this.#judge.consider();
      this.#options.onConfiguration();
    } else if (kind === "orders") {
      this.plannerClaim.changed();
      this.#options.onOrders();
    }
  }

  #onReachable(stream: string, reachable: boolean): void {
    const { logger } = this.#options;
    if (this.#reachable.get(stream) === reachable) return;
    this.#reachable.set(stream, reachable);
    if (reachable) logger.info({ stream }, "The log can be read");
    else logger.warn({ stream }, "The log can't be read");
  }

  /** The furthest state of a stream that any peer offers. */
  async #askPeers(stream: string): Promise<StreamSnapshot | undefined> {
    const { entries, peers } = this.#options;
    const answers = await Promise.all(
      peers().slice(0, MOST_PEERS_ASKED).map((peer) =>
        entries.snapshot(peer, stream)
      ),
    );
    let best: StreamSnapshot | undefined;
    for (const answer of answers) {
      if (answer.isErr()) continue;
      if (answer.value.upTo > (best?.upTo ?? -1)) best = answer.value;
    }
    return best;
  }

  #makeClaim(
    kind: StreamKind,
    options: { view: ClaimView; onGained?: () => void },
  ): ClaimKeeper {
    const { timer, random, name, incarnation, times, logger } = this.#options;
    const stream = this.#streamName(kind);
    return new ClaimKeeper({
      journal: this.journals[kind],
      view: options.view,
      timer,
      random,
      process: name,
      incarnation,
      claimSilenceMilliseconds: times.claimSilenceMilliseconds,
      eligible: () => this.#options.eligible(),
      onGained: (claim) => {
        logger.info(
          { stream, claim: claim.offset },
          "This entry has the claim",
        );
        options.onGained?.();
      },
      onLost: () => logger.info({ stream }, "This entry has lost the claim"),
    });
  }

  #makeOrdersFold(): OrdersFold {
    const { tell } = this.#options;
    return new OrdersFold({
      guards: this.#options.guards?.orders,
      onClaim: (claim) =>
        tell("claim_seen", {
          stream: this.#streamName("orders"),
          claim: claim.offset,
          holder: claim.holder,
        }),
      onOrder: (endpoint, order) =>
        tell("order_valid", {
          endpoint,
          order: order.offset,
          claim: order.claim,
          target: targetText(order.target),
        }),
      onVoid: (offset, record) =>
        tell("order_void", {
          endpoint: record.endpoint,
          order: offset,
          claim: record.claim,
          target: targetText(record.target),
        }),
    });
  }

  #makeOnceFold(): OnceFold {
    return new OnceFold({
      windowMilliseconds: this.#options.times.keyWindowMilliseconds,
      onOwner: (owner, replaces) =>
        this.#options.tell("once_owned", {
          key: owner.key,
          record: owner.record,
          endpoint: owner.endpoint,
          sideIncarnation: owner.sideIncarnation,
          replaces,
        }),
    });
  }
}
