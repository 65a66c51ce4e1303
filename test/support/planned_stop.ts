import { PlannedStop } from "../../src/core/forwarding/mod.ts";
import type { TimerService } from "../../src/core/time/mod.ts";

const GRACE_MILLISECONDS = 8_000;

/** A planned stop with the default grace period that is not requested yet. */
export function makePlannedStop(
  timer: TimerService,
  graceMilliseconds: () => number = () => GRACE_MILLISECONDS,
): PlannedStop {
  return new PlannedStop({ timer, graceMilliseconds });
}
