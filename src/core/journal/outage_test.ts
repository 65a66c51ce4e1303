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

describe("journal at the beginning of an outage", () => {
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

  it("refuses at once what comes while the log turns appends away", async () => {
    // The log goes down while the reader's long poll is still open. A caller
    // would wait out the whole time of an append for a refusal that is certain.
    const { timer, journal, faults } = await make();
    faults.down = true;
    void journal.append(RECORD);
    await timer.advance(300);
    const before = timer.now();
    const refused = await journal.append(RECORD);
    expect(refused.isErr() && refused.error.name).to.equal("append_not_made");
    expect(timer.now()).to.equal(before);
  });

  it("takes records again once the log is back", async () => {
    // Refusing must end with the outage, or a region stays without keys.
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
