import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import type {
  HistoryEvent,
  HistoryEventKind,
} from "../../core/observation/mod.ts";
import { createLogger, createTracing, Metrics } from "./mod.ts";

describe("createLogger", () => {
  it("writes JSON lines with process and component", () => {
    const lines: string[] = [];
    const log = createLogger({
      level: "info",
      process: "entry-1",
      destination: { write: (line) => void lines.push(line) },
    });
    log.forComponent("watch").warn({ side: "side-1" }, "Side does not answer");
    log.debug({}, "Left out");
    expect(lines).to.have.length(1);
    expect(JSON.parse(lines[0])).to.include({
      level: "warn",
      process: "entry-1",
      part: "watch",
      side: "side-1",
      msg: "Side does not answer",
    });
  });
});

describe("Metrics", () => {
  function observe(
    metrics: Metrics,
    at: number,
    kind: HistoryEventKind,
    facts: HistoryEvent["facts"],
  ): void {
    metrics.observe({ at, process: "entry-1", kind, facts });
  }

  it("counts a response as goodput only if it was on time", async () => {
    const metrics = new Metrics();
    const ends = [["in-time", 900], ["late", 1100]] as const;
    for (const [requestId, end] of ends) {
      observe(metrics, 0, "request_received", { requestId, className: "wish" });
      observe(metrics, 5, "request_placed", { requestId, className: "urgent" });
      observe(metrics, 40, "token_delivered", { requestId });
      observe(metrics, 60, "token_delivered", { requestId });
      observe(metrics, end, "request_finished", {
        requestId,
        outcome: "answered",
        onTime: end <= 1000,
        reason: "stop",
      });
    }
    const { body } = await metrics.render();
    expect(body).to.include('filbertshore_goodput_total{class="urgent"} 1');
    expect(body).to.include(
      'filbertshore_requests_total{class="urgent",outcome="answered"} 2',
    );
    expect(body).to.include(
      'filbertshore_first_token_seconds_sum{class="urgent"} 0.08',
    );
    expect(body).to.include(
      'filbertshore_token_interval_seconds_sum{class="urgent"} 0.04',
    );
    expect(body).to.include('filbertshore_tokens_total{class="urgent"} 4');
    expect(body).to.include("filbertshore_open_requests 0");
  });

  it("exports refusals, retries, role changes and the version", async () => {
    const metrics = new Metrics();
    const requestId = "refused";
    observe(metrics, 0, "request_received", { requestId, className: "bulk" });
    observe(metrics, 1, "request_finished", {
      requestId,
      outcome: "not_run",
      reason: "saturated",
    });
    observe(metrics, 2, "retry", { requestId, reason: "endpoint_closed" });
    observe(metrics, 3, "order_sent", { target: '{"role":"decode"}' });
    observe(metrics, 4, "configuration_in_force", { version: 17 });
    const { body } = await metrics.render();
    for (
      const line of [
        'filbertshore_refusals_total{class="bulk",reason="saturated"} 1',
        'filbertshore_retries_total{reason="endpoint_closed"} 1',
        'filbertshore_role_changes_total{role="decode"} 1',
        "filbertshore_configuration_version 17",
      ]
    ) expect(body).to.include(line);
  });

  // A caller sends a new class name with each request. Each name would add
  // permanent series and exhaust the entry's memory.
  it("limits the number of series that callers can create", async () => {
    const metrics = new Metrics();
    for (let count = 0; count < 200; count++) {
      const requestId = String(count);
      const className = `class-${count}`;
      observe(metrics, 0, "request_received", { requestId, className });
      observe(metrics, 1, "request_finished", {
        requestId,
        outcome: "not_run",
        reason: "saturated",
      });
    }
    const { body } = await metrics.render();
    const series = body.split("\n").filter((line) =>
      line.startsWith("filbertshore_requests_total{")
    );
    expect(series).to.have.length(33);
    expect(body).to.include(
      'filbertshore_requests_total{class="other",outcome="not_run"} 168',
    );
  });

  // An incorrectly embedded core may never report completions. Without a limit
  // memory would grow with each request until the process is killed.
  it("evicts the oldest request when completions are never reported", () => {
    const metrics = new Metrics();
    for (let count = 0; count < 20_100; count++) {
      observe(metrics, count, "request_received", { requestId: String(count) });
    }
    return metrics.render().then(({ body }) =>
      expect(body).to.include("filbertshore_open_requests 20000")
    );
  });
});

describe("createTracing", () => {
  const CALLER_TRACEPARENT =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

  it("writes the spans of a trace to a file, one per line", async () => {
    const folder = mkdtempSync(join(tmpdir(), "filbertshore-traces-"));
    const file = join(folder, "spans.jsonl");
    const tracing = createTracing({ process: "entry-1", file, share: 1 });
    const receive = tracing.tracer.start("entry.receive", {
      traceparent: CALLER_TRACEPARENT,
    });
    const dispatch = tracing.tracer.start("entry.dispatch", {
      traceparent: receive.traceparent,
      facts: { endpoint: "triage-llm-01" },
    });
    dispatch.fail("endpoint_closed");
    dispatch.end();
    receive.end();
    await tracing.shutdown();
    const lines = readFileSync(file, "utf8").trim().split("\n")
      .map((line) => JSON.parse(line));
    rmSync(folder, { recursive: true });
    expect(lines.map((line) => line.name)).to.deep.equal([
      "entry.dispatch",
      "entry.receive",
    ]);
    expect(lines[0].traceId).to.equal(CALLER_TRACEPARENT.split("-")[1]);
    expect(lines[0].parentSpanId).to.equal(lines[1].spanId);
    expect(lines[1].parentSpanId).to.equal("b7ad6b7169203331");
    expect(lines[0].facts.endpoint).to.equal("triage-llm-01");
  });

  it("exports spans to a collector", async () => {
    let received = "";
    const collector = createServer((request, response) => {
      request.setEncoding("utf8").on("data", (chunk) => received += chunk);
      request.on("end", () => response.end("{}"));
    });
    await new Promise<void>((resolve) => {
      collector.listen(0, "127.0.0.1", resolve);
    });
    const { port } = collector.address() as AddressInfo;
    const tracing = createTracing({
      process: "entry-1",
      otlpUrl: `http://127.0.0.1:${port}/v1/traces`,
      share: 1,
    });
    tracing.tracer.start("side.attempt", {}).end();
    await tracing.shutdown();
    collector.closeAllConnections();
    collector.close();
    expect(received).to.include("side.attempt");
  });

  it("creates no spans when no output is set", () => {
    const { tracer } = createTracing({ process: "entry-1", share: 1 });
    const span = tracer.start("entry.receive", {
      traceparent: CALLER_TRACEPARENT,
    });
    expect(span.traceparent).to.equal(undefined);
    expect(tracer.start("entry.queue", {})).to.equal(span);
  });

  it("starts a new trace when the traceparent header is invalid", () => {
    const tracing = createTracing({
      process: "entry-1",
      otlpUrl: "http://127.0.0.1:9/v1/traces",
      share: 1,
    });
    const span = tracing.tracer.start("entry.receive", { traceparent: "x" });
    expect(span.traceparent).to.match(/^00-[0-9a-f]{32}-[0-9a-f]{16}-01$/);
  });
});
