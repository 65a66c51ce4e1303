import { expect } from "chai";
import { SmallDeployment } from "../support/small_deployment.ts";
import { uuidv7 } from "../support/uuid.ts";

const CHAT = {
  model: "triage-llm",
  max_tokens: 12,
  messages: [{ role: "user", content: "Lorry dumping by the river in Klang" }],
};

describe("The complete request path as processes", () => {
  const deployment = new SmallDeployment();

  before(async function () {
    this.timeout(60_000);
    await deployment.start();
  });

  after(() => deployment.close());

  describe("a generation", () => {
    it("returns the same complete answer through both entries", async () => {
      const answers = await Promise.all(
        deployment.entries.map(({ url }) => chat(url, CHAT)),
      );
      const texts = answers.map((each) => each.choices[0].message.content);
      expect(texts[0]).to.have.length.above(0);
      expect(texts[1]).to.equal(texts[0]);
    });

    it("streams its tokens up to an explicit end", async () => {
      const complete = await chat(deployment.entries[0].url, CHAT);
      const events = await stream(deployment.entries[0].url, CHAT);
      expect(events.at(-1)).to.equal("[DONE]");
      const text = events.slice(0, -1)
        .map((event) => JSON.parse(event).choices[0].delta.content ?? "")
        .join("");
      expect(text).to.equal(complete.choices[0].message.content);
    });
  });

  describe("a non-idempotent call with a key", () => {
    // A caller whose connection broke repeats the key through another entry.
    // Without a record of the key, the case would get two numbers.
    it("runs once, and the repeat gets the first answer", async () => {
      const key = uuidv7();
      const [first, second] = [
        await book(deployment.entries[0].url, key),
        await book(deployment.entries[1].url, key),
      ];
      expect(first.status).to.equal(201);
      expect(second).to.deep.equal(first);
    });

    it("is refused if its key was used with another body", async () => {
      const key = uuidv7();
      await book(deployment.entries[0].url, key);
      const other = await book(deployment.entries[0].url, key, "other body");
      expect(other.status).to.equal(422);
      expect(JSON.parse(other.body).outcome).to.equal("not_run");
    });
  });

  describe("a request that can't be served", () => {
    it("is refused with the outcome not_run", async () => {
      const answer = await fetch(
        `${deployment.entries[0].url}/v1/chat/completions`,
        { method: "POST", body: JSON.stringify({ ...CHAT, model: "none" }) },
      );
      expect(answer.status).to.equal(404);
      expect(await answer.json()).to.include({ outcome: "not_run" });
    });
  });
});

interface ChatAnswer {
  readonly choices: readonly { message: { content: string } }[];
}

async function chat(url: string, body: unknown): Promise<ChatAnswer> {
  const answer = await fetch(`${url}/v1/chat/completions`, {
    method: "POST",
    body: JSON.stringify(body),
  });
  const text = await answer.text();
  expect(answer.status, text).to.equal(200);
  return JSON.parse(text);
}

async function stream(url: string, body: object): Promise<string[]> {
  const answer = await fetch(`${url}/v1/chat/completions`, {
    method: "POST",
    body: JSON.stringify({ ...body, stream: true }),
  });
  const text = await answer.text();
  return text.split("\n\n").filter((event) => event !== "")
    .map((event) => event.replace(/^data: /, ""));
}

async function book(
  url: string,
  key: string,
  body = "Klang",
): Promise<{ status: number; body: string }> {
  const answer = await fetch(`${url}/cases`, {
    method: "POST",
    headers: { "idempotency-key": key },
    body,
  });
  return { status: answer.status, body: await answer.text() };
}
