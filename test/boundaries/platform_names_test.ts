import { expect } from "chai";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** Names of the platform's protocol, as sent on the wire. */
const PLATFORM_NAMES =
  /server-leaving|x-(response-seal|kv-source|request-priority|expect-instance|not-executed|server-load|token-count|prompt-prefix|deadline-ms)|filbertshore\/(order|report|readyz|log-|kv-)|log-(append|newest|read)|keyed\.|path_prefix|fencing_token|handle_id|x-tenant|x-duty-holder|x-fencing-token|api_keys|store-era|window_seq/i;
const FOLDERS = ["src", "test", "bench", "scripts", "examples"];
/** Excluded from the check, because this file contains the names. */
const THIS_FILE = "platform_names_test.ts";

function filesIn(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return filesIn(path);
    return /\.(ts|js|json|mjs)$/.test(entry.name) ? [path] : [];
  });
}

describe("platform boundary", () => {
  it("confines the names of the platform's protocol to the platform folder", () => {
    const outside = FOLDERS.flatMap(filesIn).filter((path) =>
      !path.endsWith(THIS_FILE) &&
      PLATFORM_NAMES.test(readFileSync(path, "utf8"))
    );
    expect(outside).to.deep.equal([]);
  });
});
