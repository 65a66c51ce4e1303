import { expect } from "chai";
import { findFreePort } from "./free_port.ts";

describe("findFreePort", () => {
  // If two stand-ins of a deployment are allocated the same port, the second
  // cannot listen, both URLs lead to the first, and its runs count twice.
  it("allocates no port twice", async () => {
    const ports: number[] = [];
    for (let count = 0; count < 1_000; count++) {
      ports.push(await findFreePort());
    }
    expect(new Set(ports).size).to.equal(ports.length);
  });
});
