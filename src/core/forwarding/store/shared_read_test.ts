import { expect } from "chai";
import { ManualTimerService, sleep } from "../../time/mod.ts";
import { SharedRead } from "./shared_read.ts";

const READ_MILLISECONDS = 10;
const MIN_INTERVAL_MILLISECONDS = 50;
const TIMEOUT_MILLISECONDS = 200;

describe("SharedRead", () => {
  let timer: ManualTimerService;
  let startTimes: number[];
  let read: () => Promise<boolean>;
  let shared: SharedRead;

  beforeEach(() => {
    timer = new ManualTimerService();
    startTimes = [];
    read = async () => {
      await sleep(timer, READ_MILLISECONDS);
      return true;
    };
    shared = new SharedRead({
      timer,
      read: () => {
        startTimes.push(timer.now());
        return read();
      },
      minIntervalMilliseconds: MIN_INTERVAL_MILLISECONDS,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
  });

  /** Asks, and resolves with the result and the time of the answer. */
  async function ask(): Promise<{ isRead: boolean; at: number }> {
    const isRead = await shared.read();
    return { isRead, at: timer.now() };
  }

  it("reads once for all that ask at the same time", async () => {
    const startedAt = timer.now();
    const answers = Promise.all([ask(), ask(), ask()]);
    await timer.advance(MIN_INTERVAL_MILLISECONDS);
    expect((await answers).map(({ isRead }) => isRead))
      .to.deep.equal([true, true, true]);
    expect(startTimes).to.deep.equal([startedAt]);
  });

  // What was read before a stream was taken up may lack its version.
  it("does not answer with a read that began before the question", async () => {
    const first = ask();
    await timer.advance(READ_MILLISECONDS / 2);
    const askedAt = timer.now();
    const second = ask();
    const third = ask();
    await timer.advance(2 * MIN_INTERVAL_MILLISECONDS);
    expect((await first).at).to.be.below((await second).at);
    expect(await third).to.deep.equal(await second);
    expect(startTimes).to.have.length(2);
    expect(startTimes[1]).to.be.at.least(askedAt);
    expect(startTimes[1] - startTimes[0])
      .to.be.at.least(MIN_INTERVAL_MILLISECONDS);
  });

  // Callers that ask behind the beginning of a slow read would wait for two.
  it("does not wait for the end of a slow read before the next one", async () => {
    read = async () => {
      await sleep(timer, 3 * MIN_INTERVAL_MILLISECONDS);
      return true;
    };
    const first = ask();
    await timer.advance(1);
    const startedAt = timer.now();
    const second = ask();
    await timer.advance(5 * MIN_INTERVAL_MILLISECONDS);
    await first;
    expect((await second).at - startedAt)
      .to.be.at.most(4 * MIN_INTERVAL_MILLISECONDS);
  });

  it("fails a read without an answer, and reads again", async () => {
    read = () => new Promise(() => {});
    const first = ask();
    await timer.advance(TIMEOUT_MILLISECONDS);
    expect((await first).isRead).to.equal(false);
    read = () => Promise.resolve(true);
    const second = ask();
    await timer.advance(MIN_INTERVAL_MILLISECONDS);
    expect((await second).isRead).to.equal(true);
  });
});
