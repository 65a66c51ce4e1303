import { expect } from "chai";
import { identifier } from "../identity/mod.ts";
import { ManualTimerService } from "../time/mod.ts";
import { makeJournal } from "../../../test/support/coordination.ts";
import { FakeLog } from "../../../test/support/fake_log.ts";
import { OnceFold } from "../once/mod.ts";

const RECORD = {
  kind: "once" as const,
  key: "crew/019b76da-a800-7000-8000-000000000001",
  keyTime: 0x019b76daa800,
  fingerprint: "f",
  endpoint: "portal-0",
  sideIncarnation: "i",
  replaces: -1,
};

describe("Journal at the beginning of an outage", () => {
  async function make() {
    const timer = new ManualTimerService();
    const log = new FakeLog({ timer });
    const made = makeJournal(new OnceFold(), {
      log,
      timer,
      name: "entry-0",
      stream: identifier("once.klang-valley"),
    });
    made.journal.start();
    await timer.advance(1_000);
    return { timer, ...made };
  }

  it("fails an append at once while the log rejects appends", async () => {
    // The log goes down while the reader's long poll is still open. A caller
    // would wait for the whole append timeout for a certain failure.
    const { timer, journal, faults } = await make();
    faults.down = true;
    void journal.append(RECORD);
    await timer.advance(300);
    const before = timer.now();
    const refused = await journal.append(RECORD);
    expect(refused.isErr() && refused.error.name).to.equal("append_not_made");
    expect(timer.now()).to.equal(before);
  });

  it("appends again once the log is back", async () => {
    // Rejecting must end with the outage, or a region stays without idempotency
    // keys.
    const { timer, journal, faults } = await make();
    faults.down = true;
    void journal.append(RECORD);
    await timer.advance(5_000);
    faults.down = false;
    const appended = journal.append(RECORD);
    await timer.advance(3_000);
    expect((await appended).isOk()).to.equal(true);
  });
});
