import { ok } from "neverthrow";
import { identifier } from "../../src/core/identity/mod.ts";
import type { ListedVm, VmList } from "../../src/core/links/mod.ts";
import type { TimerService } from "../../src/core/time/mod.ts";
import { addressOf } from "./fake_links.ts";

/** Time until a change is visible on the platform's list. */
const LIST_DELAY_MILLISECONDS = 2_000;

/** The platform's list of VMs, which shows changes with a delay. */
export class FakeVmList {
  readonly #timer: TimerService;
  readonly #vms = new Map<string, ListedVm>();
  readonly #snapshots: { readonly at: number; readonly vms: ListedVm[] }[] = [];

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Adds a process's VM; the VM of a side has its endpoint's id. */
  add(process: string, availabilityZone: string): void {
    const role = process.startsWith("entry-") ? "entry" : "side";
    this.#vms.set(process, {
      id: role === "side" ? process.slice("side-".length) : process,
      address: identifier(addressOf(process)),
      role,
      availabilityZone,
      leaving: false,
    });
    this.#recordSnapshot();
  }

  markLeaving(process: string): void {
    const vm = this.#vms.get(process);
    if (vm !== undefined) this.#vms.set(process, { ...vm, leaving: true });
    this.#recordSnapshot();
  }

  remove(process: string): void {
    this.#vms.delete(process);
    this.#recordSnapshot();
  }

  list(): VmList {
    return {
      read: () => {
        const at = this.#timer.now() - LIST_DELAY_MILLISECONDS;
        const visible = this.#snapshots.findLast((snapshot) =>
          snapshot.at <= at
        );
        return Promise.resolve(ok((visible ?? this.#snapshots[0])?.vms ?? []));
      },
    };
  }

  #recordSnapshot(): void {
    this.#snapshots.push({
      at: this.#timer.now(),
      vms: [...this.#vms.values()],
    });
  }
}
