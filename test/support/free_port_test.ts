import { expect } from "chai";
import { freePort } from "./free_port.ts";

describe("freePort", () => {
  // Two stand-ins of one deployment are given the same port. The second cannot
  // listen, both names lead to the first, and what it ran counts twice.
  it("gives no port out twice", async () => {
    const ports: number[] = [];
    for (let count = 0; count < 1_000; count++) ports.push(await freePort());
    expect(new Set(ports).size).to.equal(ports.length);
  });
});
