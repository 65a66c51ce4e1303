import type { RecordBody } from "../../src/generated/log_records.ts";
import type { LogOffset } from "../../src/core/identity/mod.ts";
import type { StreamFold } from "../../src/core/journal/mod.ts";

/** Fold that lists the holders of all claims on the stream, in order. */
export class ClaimHoldersFold implements StreamFold {
  taken: string[] = [];

  apply(_offset: LogOffset, body: RecordBody): void {
    if (body.kind === "claim") this.taken.push(body.holder);
  }

  save(): Record<string, unknown> {
    return { taken: [...this.taken] };
  }

  load(state: Record<string, unknown>): void {
    this.taken = [...state.taken as string[]];
  }
}
