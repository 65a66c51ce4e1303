import { attachments, Membership } from "../core/membership/mod.ts";
import type { Member } from "../core/membership/mod.ts";
import { err } from "neverthrow";
import { failure } from "../core/errors/mod.ts";
import type { PeerAddress, VmList } from "../core/links/mod.ts";
import type { Random } from "../core/random/mod.ts";
import type { TimerService } from "../core/time/mod.ts";
import type { SideReport } from "../generated/messages.ts";
import { NO_VM_LIST_SET } from "./errors.ts";

export interface NeighboursOptions {
  readonly name: string;
  readonly timer: TimerService;
  readonly random: Random;
  /** Absent: the settings and the inventory alone say who is there. */
  readonly vmList?: VmList;
  /** Other entries by the settings. */
  readonly peerAddresses: readonly PeerAddress[];
  readonly suspectMilliseconds: number;
  /** How often the VM list is read. */
  readonly vmListMilliseconds: number;
  readonly onChange: () => void;
}

/** Addresses of entries that a side is told: two to use, the rest in reserve. */
const ENTRIES_TOLD = 6;

/**
 * Which VMs there are besides this one: entries and sides with their present
 * addresses, by settings, inventory and the platform's list. The list lags, so
 * what a VM says of itself goes before it.
 */
export class Neighbours {
  readonly #options: NeighboursOptions;
  readonly #membership: Membership;

  constructor(options: NeighboursOptions) {
    this.#options = options;
    this.#membership = new Membership({
      vmList: options.vmList ?? NO_VM_LIST,
      timer: options.timer,
      random: options.random,
      readMilliseconds: options.vmListMilliseconds,
      suspectMilliseconds: options.suspectMilliseconds,
      onChange: options.onChange,
    });
  }

  start(): void {
    if (this.#options.vmList !== undefined) this.#membership.start();
  }

  stop(): void {
    this.#membership.stop();
  }

  /** Peer addresses of the other entries of the region. */
  entries(): readonly PeerAddress[] {
    const addresses = new Set(this.#options.peerAddresses);
    for (const member of this.#listedEntries()) {
      addresses.add((member.vm as { address: PeerAddress }).address);
    }
    return [...addresses];
  }

  /** Number of entries that share the region's callers, this one included. */
  get entryCount(): number {
    return this.entries().length + 1;
  }

  /** Entries for a side to attach to, best first; none without a VM list. */
  entriesFor(endpoint: string, availabilityZone: string): string[] {
    const listed = this.#listedEntries(true).map((member) => ({
      id: member.id,
      availabilityZone: member.vm?.availabilityZone ?? "",
      address: member.vm?.address ?? "",
    }));
    return attachments(listed, {
      side: endpoint,
      availabilityZone,
      count: ENTRIES_TOLD,
    }).map((entry) => entry.address);
  }

  /**
   * Address of the side beside an endpoint. A VM that was replaced has a new
   * one, which the list knows before the operators publish it.
   */
  sideAddress(endpoint: string, inventoried: PeerAddress): PeerAddress {
    return this.#membership.member(endpoint)?.vm?.address ?? inventoried;
  }

  /** True where the VM list says that the endpoint's VM is leaving. */
  isLeaving(endpoint: string): boolean {
    return this.#membership.member(endpoint)?.vm?.leaving ?? false;
  }

  /** False for a late report of a run that a newer one has replaced. */
  accepts(report: SideReport): boolean {
    return this.#membership.sideReported(report);
  }

  #listedEntries(withOwn = false): Member[] {
    return this.#membership.members().filter((member) =>
      member.vm?.role === "entry" && !member.leaving &&
      (withOwn || member.id !== this.#options.name)
    );
  }
}

const NO_VM_LIST: VmList = {
  read: () => Promise.resolve(err(failure(NO_VM_LIST_SET, {}))),
};
