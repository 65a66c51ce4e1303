import type { RecordBody } from "../../generated/log_records.ts";
import { validateRecordBody } from "../../generated/validators.js";

/**
 * The part of a record that every version of the software reads the same way.
 */
export interface RecordEnvelope {
  readonly writer: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly body: unknown;
}

/**
 * Reads the envelope without validating the body. Otherwise an older reader
 * that skips a record of an unknown kind does not store its sequence number
 * either, and later admits a late record that newer readers drop; the states of
 * the two versions then diverge.
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

/** The body if its kind is known and it matches the schema. */
export function readBody(body: unknown): RecordBody | undefined {
  return validateRecordBody(body) ? body as RecordBody : undefined;
}
