import { expect } from "chai";
import { Registry } from "prom-client";
import { identifier, type ServiceName } from "../../core/identity/mod.ts";
import { NOOP_LOGGER } from "../../core/observation/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { registerPlannedRolesGauges } from "./forwarding_telemetry.ts";
import {
  createForwardingObserver,
  registerPauseCounters,
  registerRetryGauges,
  registerShareGauge,
} from "./mod.ts";

describe("createForwardingObserver", () => {
  // If predictions are wrong, requests queue at some replicas while others are
  // idle, which no other metric shows.
  it("compares the expected and the measured time at replicas", async () => {
    const registry = new Registry();
    const observe = createForwardingObserver({
      registry,
      logger: NOOP_LOGGER,
      timer: new ManualTimerService(),
    });
    const request = {
      requestId: "1",
      route: "r",
      firstByteMilliseconds: 49,
      milliseconds: 50,
    };
    observe("answered", request);
    observe("answered", {
      ...request,
      pool: "portal",
      attemptMilliseconds: 45,
      expectedMilliseconds: 30,
      reportAgeMilliseconds: 20,
    });
    const output = await registry.metrics();
    for (
      const line of [
        'replica_time_ratio_sum{pool="portal"} 1.5',
        'replica_time_ratio_count{pool="portal"} 1',
        'load_report_age_seconds_sum{pool="portal"} 0.02',
      ]
    ) expect(output).to.include(`filbertshore_${line}`);
  });

  // A body that ends with its connection may be a part; without a count nobody
  // sees which endpoints send such bodies.
  it("counts the ends of bodies by framing, route and outcome", async () => {
    const registry = new Registry();
    const observe = createForwardingObserver({
      registry,
      logger: NOOP_LOGGER,
      timer: new ManualTimerService(),
    });
    const request = {
      requestId: "1",
      route: "r",
      firstByteMilliseconds: 1,
      milliseconds: 2,
    };
    observe("answered", { ...request, framing: "connection" });
    observe("cut", { ...request, framing: "chunks" });
    observe("cut", request);
    const output = await registry.metrics();
    for (
      const labels of [
        'framing="connection",route="r",outcome="answered"',
        'framing="chunks",route="r",outcome="cut"',
        'framing="none",route="r",outcome="cut"',
      ]
    ) {
      expect(output).to.include(
        `filbertshore_response_ends_total{${labels}} 1`,
      );
    }
  });

  it("counts the pieces and bytes of bodies, and those over a bound", async () => {
    const registry = new Registry();
    const observe = createForwardingObserver({
      registry,
      logger: NOOP_LOGGER,
      timer: new ManualTimerService(),
    });
    const request = {
      requestId: "1",
      route: "r",
      firstByteMilliseconds: 1,
      milliseconds: 2,
    };
    observe("answered", { ...request, pieces: 3, bytes: 90 });
    observe("cut", { ...request, pieces: 20, bytes: 20, exceeded: "20, at 9" });
    const output = await registry.metrics();
    expect(output).to.include("filbertshore_response_pieces_sum 23");
    expect(output).to.include("filbertshore_response_body_bytes_sum 110");
    expect(output).to.include("filbertshore_response_bounds_exceeded_total 1");
  });

  // In the second in which a request ran twice, a busy entry dropped the lines
  // that tell why it was sent again.
  it("writes why a request was sent again although it drops other lines", () => {
    const lines: string[] = [];
    const observe = createForwardingObserver({
      registry: new Registry(),
      logger: {
        ...NOOP_LOGGER,
        info: (fields) => void lines.push(String(fields.decision)),
      },
      timer: new ManualTimerService(),
    });
    const request = { requestId: "1", route: "r", sends: 1 };
    for (let count = 0; count < 1_000; count++) observe("placed", request);
    const evidence = ["attempt_rejected", "refused"] as const;
    for (const decision of evidence) observe(decision, request);
    expect(lines.length).to.be.below(1_000);
    expect(lines.slice(-2)).to.deep.equal(evidence);
  });
});

describe("registerPlannedRolesGauges", () => {
  // Roles change, and operators need to see which work the plan was made for.
  it("exports the work and the plan of each pool", async () => {
    const registry = new Registry();
    registerPlannedRolesGauges(registry, () => [{
      pool: identifier<ServiceName>("engines"),
      prefillEngines: 4.5,
      decodeEngines: 2.5,
      responseSteps: 3,
      handoverShare: 1,
      openResponses: 90,
      stepMilliseconds: 12,
      observedMilliseconds: 9_000,
      plannedPrefillEngines: 6,
    }]);
    const output = await registry.metrics();
    for (
      const [name, value] of [
        ["prefill_work_engines", 4.5],
        ["decode_work_engines", 2.5],
        ["open_responses", 90],
        ["empty_step_seconds", 0.012],
        ["planned_prefill_engines", 6],
      ]
    ) {
      expect(output).to.include(
        `filbertshore_role_${name}{pool="engines"} ${value}`,
      );
    }
  });
});

describe("registerRetryGauges", () => {
  // When engines receive more retries than the fleet allows, on-call engineers
  // need to see which entry sends them and how close it is to its limit.
  it("exports the current retries of each pool and their limit", async () => {
    const registry = new Registry();
    let counted = 3;
    registerRetryGauges(
      registry,
      () => [{ pool: "engines", counted, allowed: 20.5 }],
    );
    counted = 4;
    const output = await registry.metrics();
    expect(output).to.include('filbertshore_repeats{pool="engines"} 4');
    expect(output).to.include(
      'filbertshore_repeats_allowed{pool="engines"} 20.5',
    );
  });
});

describe("registerPauseCounters", () => {
  // Placement by wrong predictions is worse than by the count of requests, and
  // operators have to see that they are wrong.
  it("exports the measured and predicted pauses of each pool", async () => {
    const registry = new Registry();
    registerPauseCounters(registry, () => [{
      pool: identifier<ServiceName>("engines"),
      count: 20,
      measuredMilliseconds: 1_500,
      predictedMilliseconds: 1_250,
    }]);
    await registry.metrics();
    const output = await registry.metrics();
    for (
      const line of [
        'stream_pauses_total{pool="engines"} 20',
        'stream_pause_seconds_total{pool="engines"} 1.5',
        'predicted_pause_seconds_total{pool="engines"} 1.25',
      ]
    ) expect(output).to.include(`filbertshore_${line}`);
  });
});

describe("registerShareGauge", () => {
  // Workspaces that are no longer among the largest must leave the output, or
  // its size grows with every workspace of the day.
  it("exports only the workspaces that are the largest now", async () => {
    const registry = new Registry();
    let workspace = "first";
    registerShareGauge(
      registry,
      () => [{ pool: "engines", workspace, share: 0.5 }],
    );
    await registry.metrics();
    workspace = "second";
    const output = await registry.metrics();
    expect(output).to.include(
      'filbertshore_workspace_share{pool="engines",workspace="second"} 0.5',
    );
    expect(output).to.not.include("first");
  });
});
