import { expect } from "chai";
import { describe, it } from "mocha";
import { CURRENT, LEAST_IN_FLIGHT } from "../../../bench/load_baselines.ts";
import {
  type LoadArrival,
  makeArrivals,
} from "../../../bench/load_arrivals.ts";
import { KOPERASI } from "../../../bench/load_deployments.ts";
import type { RunStats } from "../../../bench/load_stats.ts";
import { runLoadCell, scaleFor } from "../../../bench/load_cells.ts";
import {
  LoadRun,
  type RunOptions,
  type Variant,
} from "../../../bench/load_run.ts";

const SECONDS = 60;
const FAULT_AT_MILLISECONDS = 25_000;
const ENTRIES = KOPERASI.inventory.availabilityZones.length;

function runLoad(
  load: number,
  options: Partial<RunOptions> = {},
  variant: Variant = CURRENT,
): Promise<RunStats> {
  return new LoadRun(KOPERASI, variant, {
    ...scaleFor(KOPERASI),
    seed: 5,
    load,
    seconds: SECONDS,
    ...options,
  }).run();
}

function arrivalsAt(load: number): LoadArrival[] {
  const { capacities } = scaleFor(KOPERASI);
  return makeArrivals(KOPERASI, {
    seed: 5,
    load,
    seconds: SECONDS,
    capacities,
    entries: ENTRIES,
  });
}

/**
 * Additional requests of a class, modelled on an existing one, from one
 * workspace and evenly spaced.
 */
function extraArrivals(
  className: string,
  options: { count: number; from: number; every: number; workspace: string },
): LoadArrival[] {
  const model = arrivalsAt(0.5).find((one) =>
    one.shape.workClass.name === className
  ) as LoadArrival;
  return Array.from({ length: options.count }, (_, index) => ({
    ...model,
    at: options.from + index * options.every,
    entry: index % ENTRIES,
    workspace: options.workspace,
  }));
}

function mergeByTime(...lists: readonly LoadArrival[][]): LoadArrival[] {
  return lists.flat().sort((one, other) => one.at - other.at);
}

describe("Scheduling under load, by the outcomes of callers", () => {
  // A hundred alerts arrive within two seconds while bulk work holds most
  // slots. Without priority for urgent work, each of them waits for a long
  // summary to finish and is answered too late.
  it("answers a burst of urgent requests on time", async () => {
    const burst = extraArrivals("alert", {
      count: 100,
      from: 30_000,
      every: 20,
      workspace: "workspace-1",
    });
    const arrivals = mergeByTime(arrivalsAt(0.8), burst);
    const stats = await runLoad(0.8, { arrivals });
    expect(stats.forClass("alert").goodput).to.be.greaterThan(0.98);
  });

  // One workspace sends as many reports as the fleet can serve. Without fair
  // queues and a limit per workspace, the others wait behind its burst.
  it("serves other workspaces while one floods the pool", async () => {
    const flood = extraArrivals("report", {
      count: 1_200,
      from: 20_000,
      every: 30,
      workspace: "flood",
    });
    const onTime = { flood: 0, others: 0 };
    const all = { flood: 0, others: 0 };
    await runLoad(0.5, {
      arrivals: mergeByTime(arrivalsAt(0.5), flood),
      onRequestEnd: (arrival, result) => {
        if (arrival.shape.workClass.name !== "report") return;
        const who = arrival.workspace === "flood" ? "flood" : "others";
        all[who] += 1;
        if (result === "onTime") onTime[who] += 1;
      },
    });
    expect(onTime.others / all.others).to.be.greaterThan(0.9);
    expect(onTime.flood / all.flood).to.be.greaterThan(0.3);
  });

  // One engine runs five times slower than the inventory says. Callers whose
  // requests it gets would wait far beyond their deadline.
  it("avoids an endpoint that has become slow", async () => {
    const stats = await runLoad(0.6, {
      injectFaults: ({ sides }) => {
        const { engine } = sides.get("triage-llm-1") ?? {};
        if (engine !== undefined) engine.speed = 0.2;
      },
    });
    expect(stats.forClass("alert").goodput).to.be.greaterThan(0.98);
    expect(stats.total().goodput).to.be.greaterThan(0.95);
  });

  // One engine fails every request within milliseconds, so it always looks
  // idle. Placement by load alone sends it nearly all requests, and callers get
  // errors although only one VM is faulty.
  it("avoids an endpoint that is fast because it fails", async () => {
    const injectFaults = ({ sides }: LoadRun) => {
      const side = sides.get("triage-llm-1");
      if (side !== undefined) side.failureShare = 1;
    };
    const stats = await runLoad(0.6, { injectFaults });
    const baseline = await runLoad(
      0.6,
      { injectFaults },
      LEAST_IN_FLIGHT,
    );
    expect(stats.total().goodput).to.be.greaterThan(0.95);
    expect(stats.failedAttempts).to.be.lessThan(baseline.failedAttempts / 4);
  });

  // Short alerts and long summaries share the engines at full load. An alert
  // that waits for the slot or the prefill of a summary gets its first token
  // too late.
  it("delivers urgent first tokens early while long prompts run", async () => {
    const stats = await runLoad(1);
    const { firstToken, goodput } = stats.forClass("alert");
    expect(goodput).to.be.greaterThan(0.99);
    expect(firstToken.percentile(0.95)).to.be.lessThan(2_000);
  });

  // The offered load is twice the capacity of the fleet. Without admission
  // every answer is late, and goodput falls to almost nothing as load rises.
  it("gives as many timely answers at twice the load", async () => {
    const full = await runLoad(1);
    const twice = await runLoad(2);
    expect(twice.total().onTime).to.be.greaterThan(0.97 * full.total().onTime);
    expect(twice.forClass("alert").goodput).to.be.greaterThan(0.98);
    expect(twice.total().late / twice.total().offered).to.be.lessThan(0.05);
  });

  // Load reports arrive late. If placement trusted them, all entries would
  // choose the endpoint that looked idle seconds ago.
  for (const lag of [0, 2_000, 10_000]) {
    it(`keeps its goodput with reports that are ${lag} ms old`, async () => {
      const stats = await runLoad(0.7, { reportLagMilliseconds: lag });
      expect(stats.forClass("alert").goodput).to.be.greaterThan(0.98);
      expect(stats.total().goodput).to.be.greaterThan(0.9);
    });
  }

  // The engine's cache events are lost or wrong: it announces every document
  // and holds none. Followed blindly, all summaries would go to one engine.
  it("uses cache events as hints only", async () => {
    const prefixes = Array.from(
      { length: 24 },
      (_, index) => [0, 1, 2].map((block) => `summary-${index}/${block}`),
    ).flat();
    const stats = await runLoad(0.7, {
      injectFaults: ({ timer, entries }) =>
        timer.every(1_000, () => {
          for (const entry of entries) {
            entry.cacheEvent("triage-llm-1" as never, {
              added: prefixes,
              dropped: [],
            });
          }
        }),
    });
    expect(stats.total().goodput).to.be.greaterThan(0.95);
  });

  // An availability zone fails with a third of the engines. Requests that run
  // there fail; without a retry elsewhere their callers get errors, and without
  // suspicion the zone keeps getting work.
  it("keeps serving urgent work when a zone fails", async () => {
    const stats = await runLoad(0.6, {
      injectFaults: ({ timer, sides, entries }) => {
        const lost = KOPERASI.inventory.pools.flatMap((pool) =>
          pool.endpoints.filter((one) => one.availabilityZone === "petaling")
        );
        timer.after(FAULT_AT_MILLISECONDS, () => {
          for (const { id } of lost) sides.get(id)?.disconnect();
        });
        timer.after(FAULT_AT_MILLISECONDS + 2_000, () => {
          for (const { id } of lost) {
            for (const entry of entries) entry.suspect(id as never, true);
          }
        });
      },
    });
    expect(stats.forClass("alert").goodput).to.be.greaterThan(0.97);
    expect(stats.total().goodput).to.be.greaterThan(0.9);
  });

  // The planner fails or the log is unavailable, so roles stay as they are.
  // Admission and placement have to work without it.
  it("works without a planner", async () => {
    const stats = await runLoad(0.8, {
      injectFaults: (run) => {
        run.plannerEnabled = false;
      },
    });
    expect(stats.roleChanges).to.equal(0);
    expect(stats.forClass("alert").goodput).to.be.greaterThan(0.99);
    expect(stats.total().goodput).to.be.greaterThan(0.9);
  });
});

describe("Baselines of the load bench", () => {
  // If the bench ran the current policy under the name of the baseline, its
  // comparison would show no gain.
  it("run the policy that they are named after", async () => {
    const goodput = async (variant: string) => {
      const changes = { seconds: SECONDS };
      const cell = { deployment: "koperasi", load: 1, seeds: [1], changes };
      return (await runLoadCell({ ...cell, variant })).total().goodput;
    };
    expect(await goodput("first")).to.not.equal(await goodput("present"));
  });
});
