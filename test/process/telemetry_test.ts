import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { expect } from "chai";
import { builtBinary } from "../support/built_binary.ts";
import { promptFor, streamChat } from "../support/chat_caller.ts";
import { waitFor } from "../support/process_fleet.ts";
import { SmallDeployment } from "../support/small_deployment.ts";

interface SpanLine {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
  readonly name: string;
  readonly process: string;
}

const TRACE = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN = "b7ad6b7169203331";

describe("Metrics and traces of running processes", function () {
  this.timeout(60_000);
  const deployment = new SmallDeployment();

  before(async () => {
    process.env.FILBERTSHORE_BINARY = builtBinary();
    await deployment.start({ engines: 2, traced: true });
  });

  after(async () => {
    delete process.env.FILBERTSHORE_BINARY;
    await deployment.close();
  });

  function spans(): SpanLine[] {
    const { folder } = deployment.fleet;
    return readdirSync(folder).filter((file) => file.endsWith(".spans"))
      .flatMap((file) =>
        readFileSync(join(folder, file), "utf8").split("\n")
          .filter((line) => line !== "")
          .map((line) => JSON.parse(line) as SpanLine)
      ).filter(({ traceId }) => traceId === TRACE);
  }

  it("has a span for each hop of one request, in the caller's trace", async () => {
    const [entry] = deployment.entries;
    const answer = await streamChat(entry.url, {
      prompt: promptFor("traced", 30),
      headers: { traceparent: `00-${TRACE}-${CALLER_SPAN}-01` },
    });
    expect(answer.ended).to.equal(true);
    const expectedNames = [
      "entry.receive",
      "entry.queue",
      "entry.dispatch",
      "side.attempt",
      "endpoint.call",
    ];
    await waitFor(() => spans().length >= expectedNames.length, {
      what: "the spans to be written",
    });
    const byName = new Map(spans().map((span) => [span.name, span]));
    expect([...byName.keys()]).to.have.members(expectedNames);
    const parentOf = (name: string) => byName.get(name)?.parentSpanId;
    expect(parentOf("entry.receive")).to.equal(CALLER_SPAN);
    expect(parentOf("side.attempt"))
      .to.equal(byName.get("entry.dispatch")?.spanId);
    expect(parentOf("endpoint.call"))
      .to.equal(byName.get("side.attempt")?.spanId);
  });

  it("counts goodput by the class that the rules assign", async () => {
    const [, entry] = deployment.entries;
    await streamChat(entry.url, {
      prompt: promptFor("counted", 30),
      headers: { "x-workspace": "council", "x-work-class": "invented" },
    });
    const text = await (await fetch(`${entry.url}/metrics`)).text();
    expect(text).to.include('filbertshore_goodput_total{class="bulk"} 1');
    expect(text).to.include('filbertshore_tokens_total{class="bulk"} 30');
    expect(text).to.include(
      'filbertshore_first_token_seconds_count{class="bulk"} 1',
    );
    expect(text).to.match(/^filbertshore_configuration_version [1-9]/m);
    expect(text).to.not.include('class="invented"');
  });
});
