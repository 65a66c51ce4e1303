import { expect } from "chai";
import { readFileSync } from "node:fs";

interface Definition {
  readonly properties?: Record<string, unknown>;
  readonly required?: readonly string[];
}

const SCHEMA = new URL("../../schema/log_records.json", import.meta.url);

/**
 * Fields of the records that determine every reader's state; "?" marks
 * optional.
 */
const SHAPES: Record<string, string> = {
  PublicationRecord: "kind publicationId base publisher? content",
  ClaimRecord: "kind holder replaces",
  VerdictRecord: "kind claim publication accepted reasons?",
  OrderRecord: "kind claim number endpoint target",
  EngineTarget: "role models? weights?",
  CheckpointRecord: "kind upTo state",
  RenewalRecord: "kind claim",
};

describe("Shapes of records on the log", () => {
  const { definitions } = JSON.parse(readFileSync(SCHEMA, "utf8")) as {
    definitions: Record<string, Definition>;
  };

  // A new version adds a field to a kind of record. Processes of the old
  // version skip such records while the new ones apply them, so during a
  // rollout their states diverge permanently. A change requires a new kind of
  // record.
  for (const [name, shape] of Object.entries(SHAPES)) {
    it(`${name} keeps its fields`, () => {
      const { properties, required } = definitions[name];
      const fields = Object.keys(properties ?? {}).map((field) =>
        required?.includes(field) ? field : `${field}?`
      );
      expect(fields.join(" ")).to.equal(shape);
    });
  }
});
