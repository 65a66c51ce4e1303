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
import type { EmitEvent, Logger } from "../core/observation/mod.ts";
import { OnceFold } from "../core/once/mod.ts";
import { serializeTarget } from "../core/orders/mod.ts";
import type { Random } from "../core/random/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";

import type { EntryGuardOverrides } from "./guards.ts";

type StreamKind = "configuration" | "orders" | "once";

const STREAM_KINDS: readonly StreamKind[] = ["configuration", "orders", "once"];

/**
 * Maximum peers that are asked for a snapshot; asking all 40 of a region would
 * flood it with requests.
 */
const MAX_SNAPSHOT_PEERS = 5;

/**
 * Timeout for appending an idempotency key's record, for an outage or a slow
 * log: a call whose record cannot be written would otherwise keep its caller
 * waiting without an answer. An append normally takes some tens of
 * milliseconds.
 */
const ONCE_APPEND_TIMEOUT_MILLISECONDS = 1_500;

export interface RegionLogOptions {
  readonly name: ProcessId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly timer: TimerService;
  readonly random: Random;
  readonly log: LogService;
  readonly entries: EntryLink;
  /**
   * The region's other entries, which provide snapshots while the log is
   * unreachable.
   */
  readonly peers: () => readonly PeerAddress[];
  readonly times: {
    readonly appendDelayMilliseconds: number;
    readonly claimSilenceMilliseconds: number;
    readonly checkpointRecords: number;
    readonly keyWindowMilliseconds: number;
  };
  readonly logger: Logger;
  readonly guards?: EntryGuardOverrides;
  readonly emitEvent: EmitEvent;
  /**
   * False while this process must not take a claim, such as while it drains.
   */
  readonly eligible: () => boolean;
  /** Called after the state of the configuration stream may have changed. */
  readonly onConfigurationChange: () => void;
  /** Called after the state of the orders stream may have changed. */
  readonly onOrdersChange: () => void;
}

/**
 * One entry's view of its region's three streams, and the claims that it may
 * hold on them. The streams are separate so that a burst of idempotency keys
 * delays neither a publication nor an order.
 */
export class RegionLog {
  readonly configuration: ConfigurationFold;
  readonly orders: OrdersFold;
  readonly once: OnceFold;
  readonly journals: Readonly<Record<StreamKind, Journal>>;
  readonly configurationClaim: ClaimKeeper;
  readonly ordersClaim: ClaimKeeper;
  readonly #options: RegionLogOptions;
  readonly #validator: ConfigurationJudge;
  readonly #reachable = new Map<string, boolean>();
  #validationTimer: Subscription | undefined;

  constructor(options: RegionLogOptions) {
    this.#options = options;
    const { guards } = options;
    this.configuration = new ConfigurationFold({
      guards: guards?.configuration,
    });
    this.orders = this.#createOrdersFold();
    this.once = this.#createOnceFold();
    this.journals = {
      configuration: this.#createJournal("configuration", this.configuration),
      orders: this.#createJournal("orders", this.orders),
      once: this.#createJournal("once", this.once),
    };
    this.configurationClaim = this.#createClaimKeeper("configuration", {
      view: this.configuration,
      onGained: () => this.#validator.consider(),
    });
    this.ordersClaim = this.#createClaimKeeper("orders", { view: this.orders });
    this.#validator = new ConfigurationJudge({
      timer: options.timer,
      journal: this.journals.configuration,
      fold: this.configuration,
      heldClaim: () => this.configurationClaim.held?.offset,
    });
  }

  start(): void {
    for (const journal of Object.values(this.journals)) journal.start();
    this.configurationClaim.start();
    this.ordersClaim.start();
    this.#validationTimer = this.#options.timer.every(
      this.#options.times.claimSilenceMilliseconds,
      () => this.#validator.consider(),
    );
  }

  /**
   * Releases the claims, so that another entry can take them without waiting.
   */
  async releaseClaims(): Promise<void> {
    await Promise.all([
      this.configurationClaim.stop(),
      this.ordersClaim.stop(),
    ]);
  }

  stop(): void {
    this.#validationTimer?.cancel();
    for (const journal of Object.values(this.journals)) journal.stop();
  }

  /** Snapshot of a stream by its name, for a peer. */
  snapshot(stream: string): StreamSnapshot | undefined {
    const kind = STREAM_KINDS.find((each) => this.#streamName(each) === stream);
    return kind && this.journals[kind].snapshot();
  }

  #streamName(kind: StreamKind): string {
    return `${kind}.${this.#options.region}`;
  }

  #createJournal(kind: StreamKind, fold: StreamFold): Journal {
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
      ...(kind === "once" &&
        { giveUpMilliseconds: ONCE_APPEND_TIMEOUT_MILLISECONDS }),
      peers: () => this.#fetchPeerSnapshot(stream),
      onApplied: () => this.#onRecord(kind),
      // The newest record of a page may be one that the fold ignores, so that
      // `onApplied` is not called for it.
      onPage: () => this.#onRecord(kind),
      onRestored: () => this.#onRecord(kind),
      onState: (reachable) => this.#onReachable(stream, reachable),
    });
  }

  #onRecord(kind: StreamKind): void {
    if (kind === "configuration") {
      this.configurationClaim.changed();
      this.#validator.consider();
      this.#options.onConfigurationChange();
    } else if (kind === "orders") {
      this.ordersClaim.changed();
      this.#options.onOrdersChange();
    }
  }

  #onReachable(stream: string, reachable: boolean): void {
    const { logger } = this.#options;
    if (this.#reachable.get(stream) === reachable) return;
    this.#reachable.set(stream, reachable);
    if (reachable) logger.info({ stream }, "The log stream is readable");
    else logger.warn({ stream }, "The log stream is not readable");
  }

  /** Returns the most recent snapshot of a stream that any asked peer has. */
  async #fetchPeerSnapshot(
    stream: string,
  ): Promise<StreamSnapshot | undefined> {
    const { entries, peers } = this.#options;
    const answers = await Promise.all(
      peers().slice(0, MAX_SNAPSHOT_PEERS).map((peer) =>
        entries.snapshot(peer, stream)
      ),
    );
    let latest: StreamSnapshot | undefined;
    for (const answer of answers) {
      if (answer.isErr()) continue;
      if (answer.value.upTo > (latest?.upTo ?? -1)) latest = answer.value;
    }
    return latest;
  }

  #createClaimKeeper(
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

  #createOrdersFold(): OrdersFold {
    const { emitEvent } = this.#options;
    return new OrdersFold({
      guards: this.#options.guards?.orders,
      onClaim: (claim) =>
        emitEvent("claim_seen", {
          stream: this.#streamName("orders"),
          claim: claim.offset,
          holder: claim.holder,
        }),
      onOrder: (endpoint, order) =>
        emitEvent("order_valid", {
          endpoint,
          order: order.offset,
          claim: order.claim,
          target: serializeTarget(order.target),
        }),
      onVoid: (offset, record) =>
        emitEvent("order_void", {
          endpoint: record.endpoint,
          order: offset,
          claim: record.claim,
          target: serializeTarget(record.target),
        }),
    });
  }

  #createOnceFold(): OnceFold {
    return new OnceFold({
      windowMilliseconds: this.#options.times.keyWindowMilliseconds,
      onOwner: (owner, replaces) =>
        this.#options.emitEvent("once_owned", {
          key: owner.key,
          record: owner.record,
          endpoint: owner.endpoint,
          sideIncarnation: owner.sideIncarnation,
          replaces,
        }),
    });
  }
}
