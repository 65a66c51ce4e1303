import { connect, type Socket } from "node:net";
import process from "node:process";
import { expect } from "chai";
import { builtBinary } from "../support/built_binary.ts";
import {
  completeAnswer,
  promptFor,
  streamChat,
} from "../support/chat_caller.ts";
import { rawRequest } from "../support/raw_http.ts";
import { SmallDeployment } from "../support/small_deployment.ts";

/** Far more than all socket buffers on the path can hold. */
const TOKENS = 400_000;
/** Limit of a process's memory growth while a caller reads nothing. */
const MAX_GROWTH_BYTES = 60 * 1024 * 1024;

describe("A caller that reads slowly", function () {
  this.timeout(60_000);
  const deployment = new SmallDeployment();
  let socket: Socket | undefined;

  before(async () => {
    process.env.FILBERTSHORE_BINARY = builtBinary();
    await deployment.start({
      engines: 1,
      engine: { millisecondsBetweenTokens: 0.1 },
    });
  });

  after(async () => {
    socket?.destroy();
    delete process.env.FILBERTSHORE_BINARY;
    await deployment.close();
  });

  // The caller reads slowly and the engine is fast. Without backpressure, side
  // and entry would buffer whole answers until the platform kills them for
  // their memory use, along with the answers of all other callers.
  it("applies backpressure up to the engine while others are served", async () => {
    const [entry] = deployment.entries;
    const [engine] = deployment.engines;
    const side = `http://${engine.sideAddress}`;
    const before = [await memoryOf(entry.url), await memoryOf(side)];
    socket = sendWithoutReading(Number(new URL(entry.url).port));
    const emitted = await waitUntilStable(() => tokensOf(engine.url));
    expect(emitted).to.be.within(1, TOKENS - 1);
    const growth = [
      await memoryOf(entry.url) - before[0],
      await memoryOf(side) - before[1],
    ];
    expect(Math.max(...growth)).to.be.below(MAX_GROWTH_BYTES);
    const prompt = promptFor("beside the slow one", 50);
    const answer = await streamChat(entry.url, { prompt });
    expect(answer.tokens).to.deep.equal(completeAnswer(prompt).tokens);
  });
});

function sendWithoutReading(port: number): Socket {
  const body = JSON.stringify({
    model: "triage-llm",
    messages: [{ role: "user", content: promptFor("slow", TOKENS) }],
    max_tokens: TOKENS,
    stream: true,
  });
  const socket = connect(port, "127.0.0.1");
  socket.pause();
  socket.write(rawRequest("POST /v1/chat/completions", [
    "Host: entry",
    "X-Workspace: council",
    `Content-Length: ${body.length}`,
  ], body));
  return socket;
}

async function tokensOf(engineUrl: string): Promise<number> {
  const answer = await fetch(`${engineUrl}/control`);
  const { counts } = await answer.json() as { counts: { tokens: number } };
  return counts.tokens;
}

/** Resident memory according to the process's metrics, bytes. */
async function memoryOf(url: string): Promise<number> {
  const text = await (await fetch(`${url}/metrics`)).text();
  return Number(/^process_resident_memory_bytes (\S+)$/m.exec(text)?.[1]);
}

/** Returns the value once it has not changed for a second. */
async function waitUntilStable(read: () => Promise<number>): Promise<number> {
  let last = -1;
  for (let seconds = 0; seconds < 40; seconds++) {
    const value = await read();
    if (value === last && value > 0) return value;
    last = value;
    await new Promise((resolve) => setTimeout(resolve, 1_000));
  }
  return Infinity;
}
