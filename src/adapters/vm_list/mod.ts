/** The platform's list of VMs over HTTP. */
import { err, ok, type Result } from "../../core/errors/result.ts";
import { type Failure, failure } from "../../core/errors/mod.ts";
import { identifier } from "../../core/identity/mod.ts";
import type { ListedVm, PeerAddress, VmList } from "../../core/links/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { VmListAnswer } from "../../generated/platform.ts";
import { validateVmListAnswer } from "../../generated/validators.js";
import { HttpClient, parseJson } from "../http_client/mod.ts";
import { VM_LIST_UNAVAILABLE } from "./errors.ts";

/** The list changes slowly; a slow answer is worth the next try. */
const TIMEOUT_MILLISECONDS = 3_000;
/** 12,000 VMs at 200 bytes each, three times over. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/**
 * Reads the whole list with `GET /vms`. Where the platform names its answers
 * with entity tags, a list that has not changed costs a few hundred bytes:
 * leaving VMs are noticed within seconds without moving the list each time.
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
      return unavailable("the answer is malformed");
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

  /** Closes kept connections. */
  close(): void {
    this.#client.close();
  }
}

function unavailable(
  reason: string,
): Result<never, Failure<"vm_list_unavailable">> {
  return err(failure(VM_LIST_UNAVAILABLE, { reason }));
}
