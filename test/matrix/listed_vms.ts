import { ok } from "neverthrow";
import { identifier } from "../../src/core/identity/mod.ts";
import type { ListedVm, VmList } from "../../src/core/links/mod.ts";
import type { TimerService } from "../../src/core/time/mod.ts";
import { addressOf } from "./links.ts";

/** How far the platform's list is behind the truth. */
const LAG_MILLISECONDS = 2_000;

/** The platform's list of VMs, which shows what was true a while ago. */
export class ListedVms {
  readonly #timer: TimerService;
  readonly #vms = new Map<string, ListedVm>();
  readonly #past: { readonly at: number; readonly vms: ListedVm[] }[] = [];

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** A process runs on a VM of its own; an endpoint's side has its name. */
  add(process: string, availabilityZone: string): void {
    const role = process.startsWith("entry-") ? "entry" : "side";
    this.#vms.set(process, {
      id: role === "side" ? process.slice("side-".length) : process,
      address: identifier(addressOf(process)),
      role,
      availabilityZone,
      leaving: false,
    });
    this.#remember();
  }

  leave(process: string): void {
    const vm = this.#vms.get(process);
    if (vm !== undefined) this.#vms.set(process, { ...vm, leaving: true });
    this.#remember();
  }

  remove(process: string): void {
    this.#vms.delete(process);
    this.#remember();
  }

  list(): VmList {
    return {
      read: () => {
        const at = this.#timer.now() - LAG_MILLISECONDS;
        const seen = this.#past.findLast((past) => past.at <= at);
        return Promise.resolve(ok((seen ?? this.#past[0])?.vms ?? []));
      },
    };
  }

  #remember(): void {
    this.#past.push({ at: this.#timer.now(), vms: [...this.#vms.values()] });
  }
}
