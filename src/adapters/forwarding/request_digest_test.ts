import { expect } from "chai";
import { makeRequest } from "../../../test/support/forwarding_fixtures.ts";
import type { ForwardedRequest } from "../../core/forwarding/mod.ts";
import {
  identifier,
  type KeyDigest,
  type RequestId,
} from "../../core/identity/mod.ts";
import { digestOf } from "./request_digest.ts";

describe("digestOf", () => {
  const original = makeRequest();

  it("is the same for a retry with a new id and deadline", () => {
    const retry = makeRequest({
      id: identifier<RequestId>("request-2"),
      deadlineMilliseconds: 400,
      lastEventId: "7",
      headers: ["host", "one.example", "X-Request-Id", "request-2"],
    });
    expect(digestOf(retry)).to.equal(digestOf(original));
  });

  const changes: Readonly<Record<string, Partial<ForwardedRequest>>> = {
    method: { method: "PUT" },
    host: { host: "two.example" },
    target: { target: "/x?page=2" },
    body: { body: Buffer.from("another body") },
    key: {
      credentials: { kind: "key", digest: identifier<KeyDigest>("digest") },
    },
    "caller's own headers": {
      identityHeaders: ["Authorization", "Basic name"],
    },
  };
  for (const [name, values] of Object.entries(changes)) {
    it(`differs with the ${name}`, () => {
      expect(digestOf(makeRequest(values))).not.to.equal(digestOf(original));
    });
  }

  it("distinguishes equal text split differently between fields", () => {
    const one = makeRequest({ host: "ab", target: "c" });
    const other = makeRequest({ host: "a", target: "bc" });
    expect(digestOf(one)).not.to.equal(digestOf(other));
  });
});
