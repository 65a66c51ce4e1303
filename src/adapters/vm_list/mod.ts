/** HTTP client of the platform's VM list. */
import { err, ok, type Result } from "../../core/errors/result.ts";
import { type Failure, failure } from "../../core/errors/mod.ts";
import { identifier } from "../../core/identity/mod.ts";
import type { ListedVm, PeerAddress, VmList } from "../../core/links/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { VmListAnswer } from "../../generated/platform.ts";
import { validateVmListAnswer } from "../../generated/validators.js";
import { HttpClient, parseJson } from "../http_client/mod.ts";
import { VM_LIST_UNAVAILABLE } from "./errors.ts";

/**
 * The list changes slowly, so a slow request can be retried at the next poll.
 */
const TIMEOUT_MILLISECONDS = 3_000;
/** Three times the size of 12,000 VMs at 200 bytes each. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/**
 * Reads the complete list with `GET /vms`. If the platform sends entity tags,
 * polling an unchanged list costs a few hundred bytes, so it can be polled
 * every few seconds to detect leaving VMs.
 */
export class HttpVmList implements VmList {
  readonly #client: HttpClient;
  #cache: { entityTag: string; vms: readonly ListedVm[] } | undefined;

  constructor(url: string, options: { timer: TimerService }) {
    this.#client = new HttpClient(url, options);
  }

  async read(): Promise<
    Result<readonly ListedVm[], Failure<"vm_list_unavailable">>
  > {
    const response = await this.#client.call("/vms", {
      method: "GET",
      ...(this.#cache && {
        headers: { "if-none-match": this.#cache.entityTag },
      }),
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      mostResponseBytes: MAX_RESPONSE_BYTES,
    });
    if (response.isErr()) return unavailable(response.error.message);
    const { status, body, entityTag } = response.value;
    if (status === 304 && this.#cache !== undefined) return ok(this.#cache.vms);
    if (status !== 200) return unavailable(`status ${status}`);
    const value = parseJson(body);
    if (!validateVmListAnswer(value)) {
      return unavailable("malformed response");
    }
    const vms = (value as VmListAnswer).vms.map((vm) => ({
      id: vm.id,
      address: identifier<PeerAddress>(vm.address),
      role: vm.role,
      availabilityZone: vm.availability_zone,
      leaving: vm.leaving,
    }));
    this.#cache = entityTag === undefined ? undefined : { entityTag, vms };
    return ok(vms);
  }

  /** Closes all connections to the service. */
  close(): void {
    this.#client.close();
  }
}

function unavailable(
  reason: string,
): Result<never, Failure<"vm_list_unavailable">> {
  return err(failure(VM_LIST_UNAVAILABLE, { reason }));
}
