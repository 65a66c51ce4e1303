import { expect } from "chai";
import { describe, it } from "mocha";
import type { WorkClass } from "../../generated/rules.ts";
import { type QueueOptions, RequestQueue } from "./mod.ts";

const CLASSES: WorkClass[] = [
  { name: "bulk", priority: 9, deadlineSeconds: 60, share: 0.2 },
  { name: "urgent", priority: 0, deadlineSeconds: 5 },
];

interface Named extends Partial<QueueOptions> {
  readonly id: string;
}

function queueWith(
  items: readonly Named[],
  hasRoom: (workClass: WorkClass) => boolean = () => true,
) {
  const served: string[] = [];
  const queue = new RequestQueue({
    classes: CLASSES,
    hasRoom,
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

function many(count: number, options: Named): Named[] {
  return Array.from({ length: count }, (_, index) => ({
    ...options,
    id: `${options.id}-${index}`,
  }));
}

describe("RequestQueue", () => {
  it("serves the most urgent class first, then by slack", () => {
    const { serve } = queueWith([
      { id: "late", latestStart: 900 },
      { id: "soon", latestStart: 100 },
      { id: "alert", className: "urgent", latestStart: 999 },
    ]);
    expect(serve(3)).to.deep.equal(["alert", "soon", "late"]);
  });

  // Bulk has waited at the head while its places were all taken. If the queue
  // offered it first, the urgent request behind it would wait for nothing.
  it("does not let work without room hide work with room", () => {
    const { queue, serve } = queueWith(
      [{ id: "bulk" }, { id: "alert", className: "urgent" }],
      (workClass) => workClass.name === "urgent",
    );
    expect(queue.size).to.equal(1);
    expect(queue.waiting).to.equal(2);
    expect(serve(2)).to.deep.equal(["alert"]);
  });

  // Urgent work alone fills the fleet for minutes. Without its share bulk
  // would wait until all of it is late.
  it("keeps a share for bulk while urgent work never ends", () => {
    const { serve } = queueWith([
      ...many(100, { id: "alert", className: "urgent" }),
      ...many(100, { id: "bulk" }),
    ]);
    const bulk = serve(100).filter((id) => id.startsWith("bulk")).length;
    expect(bulk).to.be.within(10, 25);
  });

  // One workspace has a hundred requests in the queue before another sends its
  // first. In plain order that one would wait behind all of them.
  it("is fair among workspaces", () => {
    const { serve } = queueWith([
      ...many(100, { id: "flood", workspace: "flood" }),
      ...many(5, { id: "other", workspace: "other" }),
    ]);
    const others = serve(12).filter((id) => id.startsWith("other")).length;
    expect(others).to.equal(5);
  });

  it("forgets what has been removed", () => {
    const { queue, serve } = queueWith([{ id: "gone" }, { id: "kept" }]);
    expect(queue.remove("gone")).to.equal(true);
    expect(queue.remove("gone")).to.equal(false);
    expect(serve(2)).to.deep.equal(["kept"]);
  });

  it("keeps what waits when the classes change", () => {
    const { queue, serve } = queueWith([{ id: "kept" }]);
    queue.useClasses([{ name: "other", priority: 1, deadlineSeconds: 1 }]);
    expect(queue.size).to.equal(1);
    expect(serve(1)).to.deep.equal(["kept"]);
  });
});
