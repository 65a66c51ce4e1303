import type {
  CrashReport,
  CrashTracker,
} from "../../../core/forwarding/mod.ts";
import type { ProcessId } from "../../../core/identity/mod.ts";
import type { Subscription, TimerService } from "../../../core/time/mod.ts";
import { CRASHES_METHOD } from "../notifications/crash_notification.ts";
import type { Broadcast, SendToPeer } from "../notifications/notifications.ts";

/** How long losses are batched; the losses of one crash arrive together. */
const REPORT_DELAY_MILLISECONDS = 5;
/** Maximum number of losses in one datagram. */
const MAX_LOSSES = 64;

export interface CrashExchangeOptions {
  readonly timer: TimerService;
  readonly crashes: CrashTracker;
  readonly broadcast: Broadcast;
  readonly send: SendToPeer;
}

/** Tells peers of losses and of suspects that have not crashed an endpoint. */
export class CrashExchange {
  readonly #options: CrashExchangeOptions;
  #report: Subscription | undefined;

  constructor(options: CrashExchangeOptions) {
    this.#options = options;
    options.crashes.reports.onPending(() => this.#scheduleReport());
  }

  stop(): void {
    this.#report?.cancel();
  }

  /** Applies a peer's report. */
  onReport({ cleared, losses }: CrashReport): void {
    const { crashes } = this.#options;
    crashes.recordPeerLosses(losses);
    crashes.recordPeerAcquittals(cleared);
  }

  /** Sends a peer that has started the losses that it can't know. */
  onPeerStart(peer: ProcessId): void {
    const losses = this.#options.crashes.seriousLosses();
    for (let from = 0; from < losses.length; from += MAX_LOSSES) {
      const report: CrashReport = {
        losses: losses.slice(from, from + MAX_LOSSES),
        cleared: [],
      };
      this.#options.send(peer, { method: CRASHES_METHOD, params: report });
    }
  }

  /**
   * Reports crashes after a short delay. A retry may reach another entry within
   * milliseconds; if that entry sends it on without knowing of the crash, the
   * next crash is not counted as a further one.
   */
  #scheduleReport(): void {
    const { broadcast, crashes, timer } = this.#options;
    this.#report ??= timer.after(REPORT_DELAY_MILLISECONDS, () => {
      this.#report = undefined;
      const report = crashes.reports.take();
      if (report === undefined) return;
      broadcast({ method: CRASHES_METHOD, params: report });
      this.#scheduleReport();
    });
  }
}
