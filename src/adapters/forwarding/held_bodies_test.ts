import { expect } from "chai";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { HeldBodies } from "./held_bodies.ts";

const PIECES = 200_000;
const PIECE_BYTES = 20;
const MAX_GROWTH_BYTES = 4 * PIECES * PIECE_BYTES;

function memoryBytes(): number {
  setFlagsFromString("--expose-gc");
  runInNewContext("gc")();
  const { arrayBuffers, heapUsed } = process.memoryUsage();
  return arrayBuffers + heapUsed;
}

describe("HeldBodies", () => {
  // Each piece held a buffer of its own: 4 MB of events of 20 bytes, as they
  // come from an engine, took over 40 MB, of which 4 MB counted.
  it("holds a body of small pieces in about its size", () => {
    const body = new HeldBodies().open();
    const before = memoryBytes();
    let isHeld = true;
    for (let at = 0; at < PIECES; at += 1) {
      isHeld &&= body.push(Buffer.allocUnsafeSlow(PIECE_BYTES).fill(at % 251));
    }
    const growth = memoryBytes() - before;
    const whole = body.take();
    expect(isHeld).to.equal(true);
    expect(whole.length).to.equal(PIECES * PIECE_BYTES);
    for (const at of [0, 1, 250, 251, PIECES - 1]) {
      expect(whole[at * PIECE_BYTES]).to.equal(at % 251);
    }
    expect(growth).to.be.at.most(MAX_GROWTH_BYTES);
  });

  it("frees the memory of a body once, for other bodies", () => {
    const bodies = new HeldBodies();
    const large = Buffer.alloc(4 * 1024 * 1024);
    const held = Array.from({ length: 4 }, () => bodies.open());
    for (const body of held) expect(body.push(large)).to.equal(true);
    expect(bodies.open().push(Buffer.alloc(1))).to.equal(false);
    expect(held[0].take().length).to.equal(large.length);
    expect(bodies.open().push(Buffer.alloc(1))).to.equal(false);
    held[0].release();
    held[0].release();
    expect(bodies.open().push(large)).to.equal(true);
    expect(bodies.open().push(Buffer.alloc(1))).to.equal(false);
  });
});
