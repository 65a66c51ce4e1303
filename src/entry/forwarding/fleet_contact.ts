import type { TimerService } from "../../core/time/mod.ts";

/**
 * Time without the store and without any peer after which this entry may have
 * missed changes of the registrations. Peers report every 0.7 s, so that the
 * loss of one datagram stays below it, and registrations are read at least
 * every 1.25 s.
 */
const SILENCE_MILLISECONDS = 1_600;

export interface FleetContactOptions {
  readonly timer: TimerService;
  /** Number of other entries in the list of the fleet. */
  readonly peerCount: () => number;
  /** True if a datagram of another entry was received within this time. */
  readonly hasHeardPeer: (milliseconds: number) => boolean;
}

/**
 * Tells whether this entry may have missed that replicas were replaced under
 * their ids. While the store is silent for all entries, peers are still in
 * reach; an entry without either is cut off, and the others may go on.
 */
export class FleetContact {
  readonly #options: FleetContactOptions;
  /** An entry that starts knows no registration from before its start. */
  #registrationsConfirmedAt: number;
  #peerAnsweredAt = -Infinity;

  constructor(options: FleetContactOptions) {
    this.#options = options;
    this.#registrationsConfirmedAt = options.timer.now();
  }

  /** Records that the registrations were current this long ago. */
  recordRegistrations(ageMilliseconds: number): void {
    const confirmedAt = this.#options.timer.now() - ageMilliseconds;
    this.#registrationsConfirmedAt = Math.max(
      this.#registrationsConfirmedAt,
      confirmedAt,
    );
  }

  /** Records that a peer has answered a query. */
  recordPeerAnswer(): void {
    this.#peerAnsweredAt = this.#options.timer.now();
  }

  /**
   * Time since the registrations were last known to be current, or since the
   * start of this entry.
   */
  get registrationAgeMilliseconds(): number {
    return this.#options.timer.now() - this.#registrationsConfirmedAt;
  }

  /** True if peers are listed and neither they nor the store are in reach. */
  get isLost(): boolean {
    const { hasHeardPeer, peerCount, timer } = this.#options;
    return peerCount() > 0 &&
      this.registrationAgeMilliseconds >= SILENCE_MILLISECONDS &&
      timer.now() - this.#peerAnsweredAt >= SILENCE_MILLISECONDS &&
      !hasHeardPeer(SILENCE_MILLISECONDS);
  }
}
