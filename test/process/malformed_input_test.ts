import process from "node:process";
import { expect } from "chai";
import * as fc from "fast-check";
import { builtBinary } from "../support/built_binary.ts";
import {
  chatBody,
  completeAnswer,
  promptFor,
  streamChat,
} from "../support/chat_caller.ts";
import { ODD_TEXTS } from "../support/odd_values.ts";
import { rawRequest, sendRaw, statusCodes } from "../support/raw_http.ts";
import { SmallDeployment } from "../support/small_deployment.ts";

const CHAT_LINE = "POST /v1/chat/completions";
const HOST = "Host: entry";
const CLOSE = "Connection: close";
const SMUGGLED = rawRequest("GET /metrics", [HOST, CLOSE]);

describe("Malformed input to the listeners", function () {
  this.timeout(60_000);
  const deployment = new SmallDeployment();
  let entryPort: number;
  let entryPeerPort: number;
  let sidePort: number;

  before(async () => {
    process.env.FILBERTSHORE_BINARY = builtBinary();
    await deployment.start({
      engines: 3,
      engine: { millisecondsBetweenTokens: 2 },
    });
    const [entry] = deployment.entries;
    entryPort = portOf(entry.url);
    entryPeerPort = portOf(entry.peers);
    sidePort = portOf(deployment.engines[0].sideAddress);
  });

  after(async () => {
    delete process.env.FILBERTSHORE_BINARY;
    await deployment.close();
  });

  /**
   * After each test, other callers are still served and no process has exited.
   */
  afterEach(async () => {
    const prompt = promptFor("after bad input", 20);
    const answer = await streamChat(deployment.entries[0].url, { prompt });
    expect(answer.tokens).to.deep.equal(completeAnswer(prompt).tokens);
    for (const { process: started } of deployment.entries) {
      expect(started.child.exitCode).to.equal(null);
    }
    for (const { side } of deployment.engines) {
      expect(side.child.exitCode).to.equal(null);
    }
  });

  describe("the caller listener", () => {
    const refused = [
      ["truncated JSON", '{"model":"triage-llm"', 400],
      ["a model that is no string", '{"model":7,"messages":[]}', 400],
      ["no messages", '{"model":"triage-llm"}', 400],
      ["JSON that is no object", "[]", 400],
      [
        "an unknown model",
        '{"model":"none","messages":[{"role":"user","content":"x"}]}',
        404,
      ],
      [
        "a content that is nested too deep",
        `{"model":"triage-llm","messages":[{"role":"user","content":${
          ODD_TEXTS["nested lists"]
        }}]}`,
        400,
      ],
      ["a body that is too large", `"${"x".repeat(2 * 1024 * 1024)}"`, 400],
    ] as const;
    for (const [what, body, status] of refused) {
      it(`refuses ${what} with the outcome not_run`, async () => {
        const received = await sendRaw(
          rawRequest(CHAT_LINE, [
            HOST,
            CLOSE,
            `Content-Length: ${Buffer.byteLength(body)}`,
          ], body),
          { port: entryPort },
        );
        expect(statusCodes(received)).to.deep.equal([status]);
        expect(received).to.include("application/problem+json");
        expect(received).to.include('"outcome":"not_run"');
      });
    }

    for (const deadline of ["-1", "0", "soon", "1e99"]) {
      it(`refuses a deadline of ${deadline}`, async () => {
        const body = chatBody(promptFor("late", 20));
        const received = await sendRaw(
          rawRequest(CHAT_LINE, [
            HOST,
            CLOSE,
            `X-Deadline-Milliseconds: ${deadline}`,
            `Content-Length: ${body.length}`,
          ], body),
          { port: entryPort },
        );
        expect(statusCodes(received)).to.deep.equal([400]);
        expect(received).to.include('"outcome":"not_run"');
      });
    }

    it("refuses immediately a deadline that can't be met", async () => {
      const started = performance.now();
      const answer = await streamChat(deployment.entries[0].url, {
        prompt: promptFor("impossible", 20),
        headers: { "x-deadline-milliseconds": "1" },
      });
      expect(answer.problem?.outcome).to.equal("not_run");
      expect(performance.now() - started).to.be.below(500);
    });

    const smuggled = [
      ["two content lengths", ["Content-Length: 5", "Content-Length: 60"]],
      ["a content length and chunked encoding", [
        "Content-Length: 5",
        "Transfer-Encoding: chunked",
      ]],
      ["a transfer encoding that does not end in chunked", [
        "Transfer-Encoding: chunked, identity",
      ]],
      ["a space before the colon", ["Content-Length : 5"]],
      ["a content length with a sign", ["Content-Length: +5"]],
      ["a folded header", ["X-First: a\r\n Content-Length: 5"]],
    ] as const;
    for (const [what, headers] of smuggled) {
      // Request smuggling: if two parties disagree on where a request ends, its
      // rest is handled as another request that was never checked.
      it(`sends no second response to ${what}`, async () => {
        const text = rawRequest(CHAT_LINE, [HOST, ...headers], `0\r\n\r\n`);
        const received = await sendRaw(text + SMUGGLED, { port: entryPort });
        expect(received).to.not.include("filbertshore_");
        expect(statusCodes(received).every((code) => code >= 400))
          .to.equal(true);
      });
    }

    it("refuses a request head that is too large", async () => {
      const headers = [HOST, `X-Long: ${"x".repeat(64 * 1024)}`];
      const received = await sendRaw(rawRequest("GET /health", headers), {
        port: entryPort,
      });
      expect(statusCodes(received)[0]).to.be.within(400, 431);
    });

    // The connection closes while the caller still sends, or in the middle of
    // the answer. The engines must stop the work that was started for it.
    it("survives a caller that disconnects at any byte", async () => {
      const body = chatBody(promptFor("hangs up", 2_000));
      const text = rawRequest(CHAT_LINE, [
        HOST,
        `Content-Length: ${body.length}`,
      ], body);
      await fc.assert(
        fc.asyncProperty(fc.nat(text.length), async (length) => {
          const port = entryPort;
          await sendRaw(text.slice(0, length), { port, closeAfterSend: true });
        }),
        { numRuns: 60 },
      );
      await sendRaw(text, { port: entryPort, waitMilliseconds: 200 });
      await expectIdleEngines();
    });

    it("survives arbitrary bytes", async () => {
      await fuzz(() => entryPort);
    });
  });

  describe("the listeners between processes", () => {
    it("survive arbitrary bytes", async () => {
      await fuzz(() => sidePort);
      await fuzz(() => entryPeerPort);
    });

    // A process of another version or a foreign client sends JSON that is no
    // valid message.
    it("survive arbitrary JSON", async () => {
      const paths = ["/rpc", "/attempts"];
      await fc.assert(
        fc.asyncProperty(
          fc.json(),
          fc.constantFrom(...paths),
          fc.constantFrom("side", "entry"),
          async (body, path, which) => {
            const port = which === "side" ? sidePort : entryPeerPort;
            await post(port, { path, body });
          },
        ),
        {
          numRuns: 100,
          // A batch whose only element is null once crashed the process.
          examples: [["[null]", "/rpc", "side"], ["[null]", "/rpc", "entry"]],
        },
      );
    });

    it("survive calls with invalid parameters", async () => {
      const methods = [
        "side.report",
        "side.ask",
        "entry.watch",
        "entry.status",
        "entry.snapshot",
        "toString",
        "__proto__",
      ];
      await fc.assert(
        fc.asyncProperty(
          fc.constantFrom(...methods),
          fc.jsonValue(),
          fc.constantFrom("side", "entry"),
          async (method, parameters, which) => {
            const port = which === "side" ? sidePort : entryPeerPort;
            await post(port, {
              path: "/rpc",
              body: JSON.stringify({
                jsonrpc: "2.0",
                id: 1,
                method,
                params: parameters,
              }),
            });
          },
        ),
        { numRuns: 150 },
      );
    });
  });

  describe("a faulty endpoint", () => {
    const endpointFaults = [
      ["closes in mid-token", { closeAfterTokens: 10 }],
      ["sends garbage", { garbageAfterTokens: 10 }],
      ["ends without an end", { shortAfterTokens: 10 }],
      ["sends without end", { floodAfterTokens: 10 }],
    ] as const;
    for (const [what, fault] of endpointFaults) {
      // The answer must resume at another engine. If the fault were taken for
      // the end of the answer, the caller would get a truncated answer that
      // looks complete.
      it(`loses no token when it ${what}`, async () => {
        await Promise.all(
          deployment.engines.slice(0, 2).map(({ url }) =>
            fetch(`${url}/control`, {
              method: "POST",
              body: JSON.stringify(fault),
            })
          ),
        );
        const prompts = Array.from(
          { length: 9 },
          (_, index) => promptFor(`${what} ${index}`, 60),
        );
        const answers = await Promise.all(
          prompts.map((prompt) =>
            streamChat(deployment.entries[0].url, { prompt })
          ),
        );
        const consumed = await Promise.all(
          deployment.engines.slice(0, 2).map(
            async ({ url }) => {
              const answer = await fetch(`${url}/control`);
              const { faults } = await answer.json() as {
                faults: Record<string, unknown>;
              };
              return Object.keys(fault).every((name) => faults[name] === -1);
            },
          ),
        );
        expect(consumed, "the fault was injected").to.include(true);
        answers.forEach((answer, index) => {
          expect(answer.problem).to.equal(undefined);
          expect(answer.tokens).to.deep.equal(
            completeAnswer(prompts[index]).tokens,
          );
        });
      });
    }
  });

  /**
   * Waits until no engine runs a generation for a caller that has disconnected.
   */
  async function expectIdleEngines(): Promise<void> {
    const end = performance.now() + 5_000;
    for (;;) {
      const running = await Promise.all(deployment.engines.map(
        async ({ url }) => {
          const answer = await fetch(`${url}/control`);
          return (await answer.json() as { running: number }).running;
        },
      ));
      if (running.every((each) => each === 0)) return;
      if (performance.now() > end) expect(running).to.deep.equal([0, 0, 0]);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }
});

/** Sends random bytes, alone and after the start of a valid request. */
async function fuzz(port: () => number): Promise<void> {
  const prefixes = [
    "",
    "GET ",
    "POST /rpc HTTP/1.1\r\n",
    "POST /attempts HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n",
    `${CHAT_LINE} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n`,
  ];
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(...prefixes),
      fc.uint8Array({ maxLength: 300 }),
      async (prefix, bytes) => {
        const all = Buffer.concat([Buffer.from(prefix), bytes]);
        await sendRaw(all, { port: port(), waitMilliseconds: 30 });
      },
    ),
    { numRuns: 60 },
  );
}

async function post(
  port: number,
  call: { path: string; body: string },
): Promise<void> {
  const answer = await fetch(`http://127.0.0.1:${port}${call.path}`, {
    method: "POST",
    body: call.body,
    signal: AbortSignal.timeout(300),
  }).catch(() => undefined);
  await answer?.text().catch(() => {});
}

function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(":") + 1));
}
