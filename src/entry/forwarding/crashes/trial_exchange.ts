import type {
  CrashTracker,
  LoadOwners,
  ReportedProof,
  TrialIssuer,
} from "../../../core/forwarding/mod.ts";
import {
  identifier,
  type ProcessId,
  type SuspectDigest,
} from "../../../core/identity/mod.ts";
import type { Subscription, TimerService } from "../../../core/time/mod.ts";
import {
  TRIAL_ANSWER_METHOD,
  TRIAL_END_METHOD,
  TRIAL_PROOFS_METHOD,
  TRIAL_REQUEST_METHOD,
  type TrialAnswer,
  type TrialNotification,
  type TrialProofs,
  type TrialRequest,
} from "../notifications/crash_notification.ts";
import type { SendToPeer } from "../notifications/notifications.ts";

/** How long proofs are batched. */
const PROOF_DELAY_MILLISECONDS = 2;
/** Time between two proofs of a suspect from this entry. */
const PROOF_INTERVAL_MILLISECONDS = 300;
/** Maximum number of proofs in one datagram. */
const MAX_PROOFS = 128;
/** Timeout of a request for a trial. */
const ANSWER_TIMEOUT_MILLISECONDS = 40;

export interface TrialExchangeOptions {
  readonly self: ProcessId;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly issuer: TrialIssuer;
  readonly crashes: CrashTracker;
  readonly owners: Pick<LoadOwners, "liveRanking">;
  readonly send: SendToPeer;
}

/**
 * Asks the owner of a suspect, an entry that all of them can work out, for its
 * trial, and grants those of the suspects that this entry owns.
 */
export class TrialExchange {
  readonly #options: TrialExchangeOptions;
  /** Requests without an answer, by holder and suspect. */
  readonly #pending = new Map<string, (isGranted: boolean) => void>();
  /** Suspects with a proof that their owners do not know, and when it began. */
  readonly #unsentProofs = new Map<SuspectDigest, number>();
  /** When a proof of a suspect was sent last. */
  readonly #proofsSentAt = new Map<SuspectDigest, number>();
  #proofBatch: Subscription | undefined;
  #lastId = 0;

  constructor(options: TrialExchangeOptions) {
    this.#options = options;
  }

  /** Name under which one request holds trials. */
  createHolder(): string {
    this.#lastId += 1;
    const { incarnation, self } = this.#options;
    return `${self}#${incarnation}#${this.#lastId}`;
  }

  /** Resolves with true if the holder has the trial of the suspect. */
  async request(digest: SuspectDigest, holder: string): Promise<boolean> {
    const { issuer, self } = this.#options;
    const owner = this.#ownerOf(digest);
    if (owner === self) return issuer.request(digest, holder);
    return await this.#ask(owner, { digest, holder });
  }

  /** Learns what the owner of the suspect knows, without asking for a trial. */
  async inquire(digest: SuspectDigest, holder: string): Promise<void> {
    const owner = this.#ownerOf(digest);
    if (owner === this.#options.self) return;
    await this.#ask(owner, { digest, holder, isInquiry: true });
  }

  async #ask(
    owner: ProcessId,
    { digest, holder, isInquiry }: {
      readonly digest: SuspectDigest;
      readonly holder: string;
      readonly isInquiry?: boolean;
    },
  ): Promise<boolean> {
    const { crashes, self, send, timer } = this.#options;
    const key = pendingKey(holder, digest);
    const isGranted = await new Promise<boolean>((resolve) => {
      this.#pending.set(key, resolve);
      timer.after(ANSWER_TIMEOUT_MILLISECONDS, () => resolve(false));
      const params: TrialRequest = {
        entry: self,
        holder,
        digest,
        crashes: crashes.crashCount(digest),
        isInquiry,
      };
      send(owner, { method: TRIAL_REQUEST_METHOD, params });
    });
    this.#pending.delete(key);
    return isGranted;
  }

  /** Ends the trial, also where its owner has changed. */
  end(digest: SuspectDigest, holder: string): void {
    const { issuer, self, send } = this.#options;
    issuer.end(digest, holder);
    const owner = this.#ownerOf(digest);
    if (owner === self) return;
    const params: TrialNotification = { entry: self, holder, digest };
    send(owner, { method: TRIAL_END_METHOD, params });
  }

  /** Tells the owner of a suspect of a run here that has not crashed. */
  offerProof(digest: SuspectDigest, beganAt: number): void {
    const { timer } = this.#options;
    const sentAt = this.#proofsSentAt.get(digest) ?? -Infinity;
    if (timer.now() - sentAt < PROOF_INTERVAL_MILLISECONDS) return;
    this.#unsentProofs.set(digest, beganAt);
    this.#proofBatch ??= timer.after(
      PROOF_DELAY_MILLISECONDS,
      () => this.#sendProofs(),
    );
  }

  /** Handles the proofs of a peer. */
  onProofs({ proofs }: TrialProofs): void {
    this.#options.crashes.recordPeerProofs(proofs);
  }

  #sendProofs(): void {
    this.#proofBatch = undefined;
    const { self, send, timer } = this.#options;
    const now = timer.now();
    for (const [digest, sentAt] of this.#proofsSentAt) {
      if (now - sentAt < PROOF_INTERVAL_MILLISECONDS) break;
      this.#proofsSentAt.delete(digest);
    }
    const byOwner = new Map<ProcessId, ReportedProof[]>();
    for (const [digest, beganAt] of this.#unsentProofs) {
      this.#proofsSentAt.set(digest, now);
      const owner = this.#ownerOf(digest);
      const proofs = byOwner.get(owner) ?? [];
      proofs.push([digest, Math.round(now - beganAt)]);
      byOwner.set(owner, proofs);
    }
    this.#unsentProofs.clear();
    for (const [owner, proofs] of byOwner) {
      if (owner === self) continue;
      const params: TrialProofs = { proofs: proofs.slice(0, MAX_PROOFS) };
      send(owner, { method: TRIAL_PROOFS_METHOD, params });
    }
  }

  /** Handles a peer's request for a trial. */
  onRequest(params: TrialRequest): void {
    const { crashes, issuer, self, send } = this.#options;
    const { entry, holder } = params;
    const digest = identifier<SuspectDigest>(params.digest);
    const proofAge = crashes.recentProofAge(digest);
    const isBlocked = crashes.blockedMilliseconds([digest]) > 0;
    const isGranted = proofAge === undefined && !params.isInquiry &&
      !isBlocked && issuer.request(digest, holder);
    const knowsMore = crashes.crashCount(digest) > params.crashes;
    const answer: TrialAnswer = {
      entry: self,
      holder,
      digest,
      isGranted,
      ...(proofAge !== undefined && { proofAge: Math.round(proofAge) }),
      ...(knowsMore && { losses: crashes.lossesOf(digest) }),
    };
    send(identifier<ProcessId>(entry), {
      method: TRIAL_ANSWER_METHOD,
      params: answer,
    });
  }

  /** Handles the answer of a suspect's owner. */
  onAnswer(
    { digest, holder, isGranted, losses, proofAge }: TrialAnswer,
  ): void {
    if (proofAge !== undefined) {
      this.#options.crashes.recordPeerProofs([[digest, proofAge]]);
    }
    if (losses !== undefined) this.#options.crashes.recordPeerLosses(losses);
    const settle = this.#pending.get(pendingKey(holder, digest));
    if (settle !== undefined) return settle(isGranted);
    // The answer is late, and nobody would end the trial.
    if (isGranted) this.end(identifier<SuspectDigest>(digest), holder);
  }

  /** Handles the end of a trial that this entry has granted. */
  onEnd({ digest, holder }: TrialNotification): void {
    this.#options.issuer.end(identifier<SuspectDigest>(digest), holder);
  }

  #ownerOf(digest: SuspectDigest): ProcessId {
    const { owners, self } = this.#options;
    return owners.liveRanking(digest)[0] ?? self;
  }
}

/** A holder may ask for another suspect's trial before a late answer arrives. */
function pendingKey(holder: string, digest: string): string {
  return `${holder} ${digest}`;
}
