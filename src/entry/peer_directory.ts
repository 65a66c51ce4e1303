import { Membership, selectAttachedEntries } from "../core/membership/mod.ts";
import type { Member } from "../core/membership/mod.ts";
import { err } from "neverthrow";
import { failure } from "../core/errors/mod.ts";
import type { PeerAddress, VmList } from "../core/links/mod.ts";
import type { Random } from "../core/random/mod.ts";
import type { TimerService } from "../core/time/mod.ts";
import type { SideReport } from "../generated/messages.ts";
import { VM_LIST_NOT_CONFIGURED } from "./errors.ts";

export interface PeerDirectoryOptions {
  readonly name: string;
  readonly timer: TimerService;
  readonly random: Random;
  /** If absent, only the settings and the inventory determine the peers. */
  readonly vmList?: VmList;
  /** Addresses of other entries from the settings. */
  readonly peerAddresses: readonly PeerAddress[];
  readonly suspectMilliseconds: number;
  /** Interval between reads of the VM list, milliseconds. */
  readonly vmListMilliseconds: number;
  readonly onChange: () => void;
}

/**
 * Entry addresses that are sent to a side: two to attach to and four as
 * fallbacks.
 */
const ADVERTISED_ENTRY_COUNT = 6;

/**
 * Directory of the region's other VMs: entries and sides with their current
 * addresses, from the settings, the inventory and the platform's VM list. The
 * list lags behind, so a VM's own reports take precedence over it.
 */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;
  readonly #membership: Membership;

  constructor(options: PeerDirectoryOptions) {
    this.#options = options;
    this.#membership = new Membership({
      vmList: options.vmList ?? UNAVAILABLE_VM_LIST,
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

  /** Peer addresses of the region's other entries. */
  entries(): readonly PeerAddress[] {
    const addresses = new Set(this.#options.peerAddresses);
    for (const member of this.#listedEntries()) {
      addresses.add((member.vm as { address: PeerAddress }).address);
    }
    return [...addresses];
  }

  /** Number of entries that share the region's callers, including this one. */
  get entryCount(): number {
    return this.entries().length + 1;
  }

  /** Entries for a side to attach to, best first; empty without a VM list. */
  entriesFor(endpoint: string, availabilityZone: string): string[] {
    const listed = this.#listedEntries(true).map((member) => ({
      id: member.id,
      availabilityZone: member.vm?.availabilityZone ?? "",
      address: member.vm?.address ?? "",
    }));
    return selectAttachedEntries(listed, {
      side: endpoint,
      availabilityZone,
      count: ADVERTISED_ENTRY_COUNT,
    }).map((entry) => entry.address);
  }

  /**
   * Address of an endpoint's side. The VM list has the new address of a
   * replaced VM before the operators publish it in the inventory.
   */
  sideAddress(endpoint: string, inventoryAddress: PeerAddress): PeerAddress {
    return this.#membership.member(endpoint)?.vm?.address ?? inventoryAddress;
  }

  /** True if the VM list marks the endpoint's VM as leaving. */
  isLeaving(endpoint: string): boolean {
    return this.#membership.member(endpoint)?.vm?.leaving ?? false;
  }

  /** False for a report of an incarnation that a newer one has replaced. */
  accepts(report: SideReport): boolean {
    return this.#membership.recordSideReport(report);
  }

  #listedEntries(includeSelf = false): Member[] {
    return this.#membership.members().filter((member) =>
      member.vm?.role === "entry" && !member.leaving &&
      (includeSelf || member.id !== this.#options.name)
    );
  }
}

const UNAVAILABLE_VM_LIST: VmList = {
  read: () => Promise.resolve(err(failure(VM_LIST_NOT_CONFIGURED, {}))),
};
