import { expect } from "chai";
import {
  makeConfiguration,
  makeEndpoint,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import { ForwardingHarness } from "../../../test/support/forwarding_harness.ts";
import type { BodyFraming } from "./network_interfaces.ts";

const DEADLINE_MILLISECONDS = 400;
const EVENT = "id: 1\ndata: a\n\n";

interface TimedEnd {
  readonly framing: BodyFraming;
  /** When the endpoint ends its body, from the send. */
  readonly endsAfter: number;
  readonly status?: number;
}

/** Asks for a stream of one event, until its deadline has passed. */
async function ask({ endsAfter, framing, status = 200 }: TimedEnd) {
  const route = makeRoute({ repeat: "stream", mostAttempts: 1 });
  const harness = new ForwardingHarness(
    makeConfiguration({ routes: [route] }),
  );
  harness.dependencies.registry.upsert(makeEndpoint("a"));
  const caller = await harness.submit(
    makeRequest({ deadlineMilliseconds: DEADLINE_MILLISECONDS }),
  );
  const [sent] = harness.sent;
  sent.framing = framing;
  await sent.head({ status, headers: ["Content-Type", "text/event-stream"] });
  await sent.chunk(EVENT);
  await harness.timer.advance(endsAfter);
  await sent.end();
  await harness.timer.advance(DEADLINE_MILLISECONDS - endsAfter + 1);
  return { caller, harness };
}

describe("BodyEndJudge", () => {
  // An endpoint whose time is up may end its stream in order.
  for (const endsAfter of [390, 399, 400]) {
    it(`takes no last chunk for proof ${endsAfter} of ${DEADLINE_MILLISECONDS} ms after the send`, async () => {
      const { caller, harness } = await ask({ framing: "chunks", endsAfter });
      expect(caller).to.include({ body: EVENT, ended: "cut" });
      const line = harness.decisions.findLast(({ decision }) =>
        decision === "cut"
      );
      expect(line).to.include({ reason: "deadline" });
    });
  }

  it("logs the time that the endpoint was given and took", async () => {
    const { harness } = await ask({ framing: "chunks", endsAfter: 395 });
    const line = harness.decisions.findLast(({ decision }) =>
      decision === "cut"
    );
    expect(line).to.include({
      endGround: "time_limit",
      endedAfterMilliseconds: 395,
      allowedMilliseconds: DEADLINE_MILLISECONDS,
    });
  });

  it("takes the last chunk for proof before that", async () => {
    const { caller } = await ask({ framing: "chunks", endsAfter: 389 });
    expect(caller).to.include({ body: EVENT, ended: "whole" });
  });

  it("takes a length that was reached for proof at any time", async () => {
    const { caller } = await ask({ framing: "length", endsAfter: 399 });
    expect(caller).to.include({ body: EVENT, ended: "whole" });
  });

  it("passes on a failure that comes when the time is up", async () => {
    const { caller } = await ask({
      framing: "chunks",
      endsAfter: 399,
      status: 504,
    });
    expect(caller).to.include({ status: 504, ended: "whole" });
  });
});
