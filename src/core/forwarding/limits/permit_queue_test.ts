import { expect } from "chai";
import { PermitQueue } from "./permit_queue.ts";

const GROUP = "portal";

describe("PermitQueue", () => {
  it("orders by rank, then by arrival", () => {
    const queue = new PermitQueue();
    const [first, second] = [queue.enter(GROUP, 1), queue.enter(GROUP, 1)];
    const urgent = queue.enter(GROUP, 0);
    expect(queue.countAhead(GROUP, urgent)).to.equal(0);
    expect(queue.countAhead(GROUP, first)).to.equal(1);
    expect(queue.countAhead(GROUP, second)).to.equal(2);
  });

  it("places a newcomer behind those of its rank", () => {
    const queue = new PermitQueue();
    queue.enter(GROUP, 1);
    queue.enter(GROUP, 2);
    expect(queue.countAhead(GROUP, { rank: 0 })).to.equal(0);
    expect(queue.countAhead(GROUP, { rank: 1 })).to.equal(1);
    expect(queue.countAhead(GROUP, { rank: 2 })).to.equal(2);
  });

  it("closes the gap of a request that has left", () => {
    const queue = new PermitQueue();
    const [first, second] = [queue.enter(GROUP, 0), queue.enter(GROUP, 0)];
    queue.leave(GROUP, first);
    queue.leave(GROUP, first);
    expect(queue.countAhead(GROUP, second)).to.equal(0);
    expect(queue.countByRank(GROUP)).to.deep.equal([[0, 1]]);
  });

  it("keeps groups apart", () => {
    const queue = new PermitQueue();
    queue.enter(GROUP, 0);
    expect(queue.countAhead("engines", { rank: 0 })).to.equal(0);
    expect(queue.countByRank("engines")).to.deep.equal([]);
  });
});
