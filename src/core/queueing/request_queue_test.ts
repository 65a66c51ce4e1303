import { expect } from "chai";
import { describe, it } from "mocha";
import type { WorkClass } from "../../generated/rules.ts";
import { type QueueOptions, RequestQueue } from "./mod.ts";

const CLASSES: WorkClass[] = [
  { name: "bulk", priority: 9, deadlineSeconds: 60, share: 0.2 },
  { name: "urgent", priority: 0, deadlineSeconds: 5 },
];

interface TestItem extends Partial<QueueOptions> {
  readonly id: string;
}

function queueWith(
  items: readonly TestItem[],
  hasCapacity: (workClass: WorkClass) => boolean = () => true,
) {
  const served: string[] = [];
  const queue = new RequestQueue({
    classes: CLASSES,
    hasCapacity,
    defaultShare: 0,
  });
  for (const item of items) {
    queue.enqueue(() => {
      served.push(item.id);
      return Promise.resolve();
    }, {
      className: "bulk",
      workspace: "one",
      cost: 1,
      latestStart: 0,
      ...item,
    });
  }
  const serve = (count: number) => {
    for (let index = 0; index < count; index++) queue.dequeue()?.();
    return served;
  };
  return { queue, serve };
}

function repeated(count: number, options: TestItem): TestItem[] {
  return Array.from({ length: count }, (_, index) => ({
    ...options,
    id: `${options.id}-${index}`,
  }));
}

describe("RequestQueue", () => {
  it("serves the most urgent class first, and each class by slack", () => {
    const { serve } = queueWith([
      { id: "late", latestStart: 900 },
      { id: "soon", latestStart: 100 },
      { id: "alert", className: "urgent", latestStart: 999 },
    ]);
    expect(serve(3)).to.deep.equal(["alert", "soon", "late"]);
  });

  // A bulk request is first in the queue and has no capacity. If the queue
  // returned it first, the urgent request behind it would wait although it has
  // capacity.
  it("does not let work without capacity block work with capacity", () => {
    const { queue, serve } = queueWith(
      [{ id: "bulk" }, { id: "alert", className: "urgent" }],
      (workClass) => workClass.name === "urgent",
    );
    expect(queue.size).to.equal(1);
    expect(queue.waiting).to.equal(2);
    expect(serve(2)).to.deep.equal(["alert"]);
  });

  // Urgent work alone saturates the fleet for minutes. Without a share, bulk
  // work would wait until all of it is late.
  it("reserves a share for bulk under continuous urgent work", () => {
    const { serve } = queueWith([
      ...repeated(100, { id: "alert", className: "urgent" }),
      ...repeated(100, { id: "bulk" }),
    ]);
    const bulk = serve(100).filter((id) => id.startsWith("bulk")).length;
    expect(bulk).to.be.within(10, 25);
  });

  // One workspace has queued a hundred requests before another one sends its
  // first. In order of arrival, that request would wait behind all of them.
  it("is fair among workspaces", () => {
    const { serve } = queueWith([
      ...repeated(100, { id: "flood", workspace: "flood" }),
      ...repeated(5, { id: "other", workspace: "other" }),
    ]);
    const others = serve(12).filter((id) => id.startsWith("other")).length;
    expect(others).to.equal(5);
  });

  it("does not serve removed requests", () => {
    const { queue, serve } = queueWith([{ id: "gone" }, { id: "kept" }]);
    expect(queue.remove("gone")).to.equal(true);
    expect(queue.remove("gone")).to.equal(false);
    expect(serve(2)).to.deep.equal(["kept"]);
  });

  it("keeps queued requests when the classes change", () => {
    const { queue, serve } = queueWith([{ id: "kept" }]);
    queue.setClasses([{ name: "other", priority: 1, deadlineSeconds: 1 }]);
    expect(queue.size).to.equal(1);
    expect(serve(1)).to.deep.equal(["kept"]);
  });
});
