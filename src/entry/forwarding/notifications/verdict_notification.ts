import {
  isVerdictRows,
  type VerdictRow,
} from "../../../core/forwarding/mod.ts";
import { isObjectOf, isText } from "../../../core/validation/mod.ts";

/** Notification that carries new verdicts on endpoints. */
export const VERDICTS_METHOD = "entry.verdicts";

/** Verdicts of an entry on endpoints that it owns. */
export interface VerdictNotification {
  readonly entry: string;
  readonly verdicts: readonly VerdictRow[];
}

export const isVerdictNotification = isObjectOf<VerdictNotification>({
  entry: isText,
  verdicts: isVerdictRows,
});
