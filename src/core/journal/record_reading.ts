import type { RecordBody } from "../../generated/log_records.ts";
import { validateRecordBody } from "../../generated/validators.js";

/** The part of a record that every version of the software reads alike. */
export interface RecordEnvelope {
  readonly writer: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly body: unknown;
}

/**
 * Reads the envelope without looking at the body. What goes wrong otherwise:
 * an older reader passes over a record of a kind that it does not know,
 * forgets its sequence number as well, and later admits a late record that
 * newer readers drop; the two versions differ from there on.
 */
export function readEnvelope(value: unknown): RecordEnvelope | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { writer, incarnation, sequence, body } = value as Record<
    string,
    unknown
  >;
  if (typeof writer !== "string" || typeof incarnation !== "string") {
    return undefined;
  }
  if (!Number.isSafeInteger(sequence) || (sequence as number) < 0) {
    return undefined;
  }
  return { writer, incarnation, sequence: sequence as number, body };
}

/** The body where it is of a known kind and shape. */
export function readBody(body: unknown): RecordBody | undefined {
  return validateRecordBody(body) ? body as RecordBody : undefined;
}
