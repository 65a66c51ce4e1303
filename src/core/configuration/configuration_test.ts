import { expect } from "chai";
import {
  CONFIGURATION,
  makeJournal,
  makeJudge,
  sampleConfiguration,
} from "../../../test/support/coordination.ts";
import { ODD_TEXTS } from "../../../test/support/odd_values.ts";
import { FakeLog } from "../../../test/support/fake_log.ts";
import type { RecordBody } from "../../generated/log_records.ts";
import { numbered } from "../identity/mod.ts";
import { ManualTimerService } from "../time/mod.ts";
import {
  checkConfiguration,
  type ConfigurationContent,
  ConfigurationFold,
  Publisher,
} from "./mod.ts";

function publication(publicationId: string, base: number): RecordBody {
  const content = { ...sampleConfiguration(publicationId) };
  return { kind: "publication", publicationId, base, content };
}

function claim(holder: string, replaces: number): RecordBody {
  return { kind: "claim", holder, replaces };
}

function accept(claimOffset: number, publicationOffset: number): RecordBody {
  return {
    kind: "verdict",
    claim: claimOffset,
    publication: publicationOffset,
    accepted: true,
  };
}

function foldOf(bodies: readonly RecordBody[]): ConfigurationFold {
  const fold = new ConfigurationFold();
  bodies.forEach((body, offset) => fold.apply(numbered(offset), body));
  return fold;
}

describe("ConfigurationFold", () => {
  it("applies a publication with the first valid verdict", () => {
    const fold = foldOf([
      claim("judge", -1),
      publication("a", 0),
      accept(0, 1),
    ]);
    expect(fold.version).to.equal(3);
    expect(fold.inventory?.pools[0].weights).to.equal("a");
    expect(fold.outcome("a")?.accepted).to.equal(true);
  });

  // Two operators change the same version concurrently. If both came into
  // force, the second would silently undo the first one's change.
  it("accepts one of two concurrent publications and reports which", () => {
    const fold = foldOf([
      claim("judge", -1),
      publication("a", 0),
      publication("b", 0),
      accept(0, 1),
      accept(0, 2),
    ]);
    expect(fold.version).to.equal(4);
    expect(fold.outcome("b")?.accepted).to.equal(false);
    expect(fold.outcome("b")?.beatenBy?.publicationId).to.equal("a");
  });

  // A validator is paused after it has checked a publication, loses its claim,
  // resumes and appends its verdict. Readers that accepted it would follow a
  // process that no longer holds the claim.
  it("ignores the verdict of a validator that has lost its claim", () => {
    const fold = foldOf([
      claim("old", -1),
      publication("a", 0),
      claim("new", 0),
      accept(0, 1),
    ]);
    expect(fold.version).to.equal(0);
    expect(fold.pending).to.have.length(1);
  });

  // A verdict whose answer was lost is appended twice. The second must not
  // create a new version of the same content.
  it("keeps the version when a verdict is on the log twice", () => {
    const fold = foldOf([
      claim("judge", -1),
      publication("a", 0),
      accept(0, 1),
      accept(0, 1),
    ]);
    expect(fold.version).to.equal(3);
  });

  // A publication is appended a second time, long after it was accepted. The
  // change that followed it would be reverted.
  it("ignores a publication that is appended again", () => {
    const fold = foldOf([
      claim("judge", -1),
      publication("a", 0),
      accept(0, 1),
      publication("b", 3),
      accept(0, 3),
      publication("a", 0),
      accept(0, 5),
    ]);
    expect(fold.version).to.equal(5);
    expect(fold.inventory?.pools[0].weights).to.equal("b");
    expect(fold.outcome("a")?.accepted).to.equal(true);
  });

  // A tool writes a base far ahead. If a version with that number came later,
  // the old publication would revert it.
  it("ignores a base that is not an existing version", () => {
    const fold = foldOf([claim("judge", -1), publication("ahead", 4)]);
    expect(fold.pending).to.deep.equal([]);
  });

  // A tool publishes continuously while no process appends verdicts. Without a
  // limit, every process of the fleet would store every publication.
  it("stores a bounded number of pending publications", () => {
    const bodies = Array.from(
      { length: 200 },
      (_, i) => publication(`p${i}`, 0),
    );
    expect(foldOf(bodies).pending).to.have.length(64);
  });

  // A newer version of the software accepts content that this one can't read.
  // If this one decided on its own, its base would differ for every later
  // publication and the fleet would diverge permanently.
  it("follows a verdict on content that it can't apply and reports it", () => {
    const fold = foldOf([
      claim("judge", -1),
      publication("a", 0),
      accept(0, 1),
      {
        kind: "publication",
        publicationId: "newer",
        base: 3,
        content: { inventory: "in a new form" },
      },
      accept(0, 3),
    ]);
    expect(fold.version).to.equal(5);
    expect(fold.appliedVersion).to.equal(3);
    expect(fold.inventory?.pools[0].weights).to.equal("a");
    expect(fold.unapplied).to.not.have.length(0);
  });

  it("is the same after saving and loading", () => {
    const fold = foldOf([
      claim("judge", -1),
      publication("a", 0),
      accept(0, 1),
      publication("b", 3),
    ]);
    const saved = JSON.parse(JSON.stringify(fold.save()));
    const copy = new ConfigurationFold();
    copy.load(saved);
    expect(copy.save()).to.deep.equal(fold.save());
    expect(copy.inventory).to.deep.equal(fold.inventory);
  });
});

describe("checkConfiguration", () => {
  function changed(
    change: (content: ConfigurationContent) => void,
  ): ConfigurationContent {
    const content = structuredClone(sampleConfiguration());
    change(content);
    return content;
  }

  it("finds no problems in a valid configuration", () => {
    expect(checkConfiguration(sampleConfiguration())).to.deep.equal([]);
  });

  it("reports the path, the found and the expected value", () => {
    const content = changed(({ inventory }) => {
      inventory.pools[0].endpoints[0].availabilityZone = "nowhere";
    });
    expect(checkConfiguration(content)).to.deep.equal([{
      path: "/inventory/pools/0/endpoints/0/availabilityZone",
      found: "nowhere",
      expected: "one of shah-alam, petaling",
    }]);
  });

  const invalidChanges: Record<
    string,
    (content: ConfigurationContent) => void
  > = {
    "/inventory/pools/0/endpoints/1/id": ({ inventory }) => {
      const [first] = inventory.pools[0].endpoints;
      inventory.pools[0].endpoints.push({ ...first, side: "10.0.0.2:7000" });
    },
    "/inventory/pools/0/endpoints/1/side": ({ inventory }) => {
      const [first] = inventory.pools[0].endpoints;
      inventory.pools[0].endpoints.push({ ...first, id: "triage-2" });
    },
    "/inventory/pools/1/models/0": ({ inventory }) => {
      inventory.pools.push({ ...inventory.pools[0], name: "b", endpoints: [] });
    },
    "/inventory/pools/1/routes/1": ({ inventory }) => {
      const route = { method: "GET" as const, path: "/a", idempotent: true };
      inventory.pools.push({
        name: "portal",
        kind: "service",
        routes: [route, { ...route, path: "/a/" }],
        endpoints: [],
      });
    },
    "/rules/defaultClass": ({ rules }) => rules.defaultClass = "none",
    "/rules/classes": ({ rules }) => {
      rules.classes[0].share = 0.6;
      (rules.classes as unknown[]).push({
        ...rules.classes[0],
        name: "bulk",
      });
    },
    "/rules/matches/0/class": ({ rules }) => rules.matches = [{ class: "no" }],
  };
  for (const [path, change] of Object.entries(invalidChanges)) {
    it(`finds the problem at ${path}`, () => {
      const problems = checkConfiguration(changed(change));
      expect(problems.map((problem) => problem.path)).to.include(path);
    });
  }

  // The text of what was found would throw in each process that reads it.
  it("reports values that are nested too deep", () => {
    const [nested] = [ODD_TEXTS["nested lists"]].map((text) =>
      JSON.parse(text)
    );
    const problems = checkConfiguration({ inventory: nested, rules: nested });
    expect(problems).to.not.have.length(0);
  });

  it("reports problems for content of any type", () => {
    for (const content of [undefined, null, 3, "text", [], {}]) {
      expect(checkConfiguration(content)).to.not.have.length(0);
    }
  });
});

describe("Publisher and ConfigurationJudge", () => {
  let timer: ManualTimerService;
  let log: FakeLog;

  beforeEach(() => {
    timer = new ManualTimerService();
    log = new FakeLog({ timer });
  });

  function operator(name: string) {
    const fold = new ConfigurationFold();
    const options = { log, timer, name, stream: CONFIGURATION };
    const parts = makeJournal(fold, options);
    parts.journal.start();
    const publisher = new Publisher({
      journal: parts.journal,
      fold,
      timer,
      verdictMilliseconds: 10_000,
    });
    return { ...parts, publisher };
  }

  function publish(
    publisher: Publisher,
    publicationId: string,
    base = 0,
  ): { outcome?: string; message?: string } {
    const tracked: { outcome?: string; message?: string } = {};
    void publisher.publish(sampleConfiguration(publicationId), {
      publicationId,
      base,
      publisher: `operator of ${publicationId}`,
    }).then((result) => {
      tracked.outcome = result.isOk() ? "accepted" : result.error.name;
      if (result.isErr()) tracked.message = result.error.message;
    });
    return tracked;
  }

  it("applies a publication at every reader", async () => {
    const entries = ["a", "b", "c"].map((name) =>
      makeJudge({ log, timer, name })
    );
    const one = operator("one");
    await timer.advance(5_000);
    const seen = publish(one.publisher, "first");
    await timer.advance(1_000);
    expect(seen.outcome).to.equal("accepted");
    for (const entry of entries) {
      expect(entry.fold.inventory?.pools[0].weights).to.equal("first");
    }
  });

  // Two operators publish concurrently. The one that loses must learn which
  // change to look at before it retries.
  it("reports the conflicting change to the operator that lost", async () => {
    makeJudge({ log, timer, name: "a" });
    const one = operator("one");
    const two = operator("two");
    await timer.advance(5_000);
    const outcomes = [
      publish(one.publisher, "first"),
      publish(two.publisher, "second"),
    ];
    await timer.advance(2_000);
    const won = outcomes.filter((seen) => seen.outcome === "accepted");
    const lost = outcomes.find((seen) => seen.outcome !== "accepted");
    expect(won).to.have.length(1);
    expect(lost?.outcome).to.equal("publication_rejected");
    expect(lost?.message).to.match(
      /publication ".*" by operator of .* came first/,
    );
  });

  // The log appends the publication, but the answer is lost; the operator runs
  // the command again. It must find the first attempt and not publish twice.
  it("finds a publication whose answer was lost", async () => {
    makeJudge({ log, timer, name: "a" });
    const one = operator("one");
    await timer.advance(5_000);
    one.faults.lostAnswers = 1;
    const first = publish(one.publisher, "first");
    await timer.advance(3_000);
    const again = publish(operator("again").publisher, "first");
    await timer.advance(3_000);
    expect(first.outcome).to.equal("accepted");
    expect(again.outcome).to.equal("accepted");
    const publications = log.records(CONFIGURATION).filter((item) =>
      JSON.stringify(item.value).includes('"kind":"publication"')
    );
    expect(publications).to.have.length(1);
  });

  // The validator is killed after the publication is on the log. Without a
  // takeover the operator never gets a verdict.
  it("gets a verdict although the validator is killed", async () => {
    const entries = ["a", "b"].map((name) => makeJudge({ log, timer, name }));
    const one = operator("one");
    await timer.advance(5_000);
    const judge = entries.find((entry) => entry.keeper.held !== undefined);
    judge!.faults.silent = true;
    const seen = publish(one.publisher, "first");
    await timer.advance(9_000);
    expect(seen.outcome).to.equal("accepted");
  });

  it("reports invalid content to the operator", async () => {
    makeJudge({ log, timer, name: "a" });
    const one = operator("one");
    await timer.advance(5_000);
    const content = structuredClone(sampleConfiguration());
    content.rules.defaultClass = "none";
    let message = "";
    void one.publisher.publish(content, { publicationId: "bad", base: 0 })
      .then((result) => message = result.isErr() ? result.error.message : "");
    await timer.advance(2_000);
    expect(message).to.include("/rules/defaultClass: found none");
  });

  // The log is down before the publication reaches it. The operator must not
  // get an unknown outcome when nothing has happened.
  it("reports that nothing was published while the log is down", async () => {
    const one = operator("one");
    await timer.advance(1_000);
    one.faults.down = true;
    const seen = publish(one.publisher, "first");
    await timer.advance(20_000);
    expect(seen.outcome).to.equal("publication_not_made");
  });
});
