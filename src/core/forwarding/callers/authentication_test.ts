import { expect } from "chai";
import { err, ok } from "neverthrow";
import {
  identifier,
  type KeyDigest,
  type WorkspaceId,
} from "../../identity/mod.ts";
import { authenticate, type Credentials, KeyDirectory } from "../mod.ts";

function key(name: string): Credentials {
  return { kind: "key", digest: identifier<KeyDigest>(name) };
}

describe("authenticate", () => {
  const urgent = { id: identifier<WorkspaceId>("urgent"), rank: 0 };
  const plain = { id: identifier<WorkspaceId>("plain") };
  const directory = new KeyDirectory([
    { ...urgent, keys: [identifier("one"), identifier("two")] },
    { ...plain, keys: [identifier("three")] },
  ]);

  describe("on a route that needs a key", () => {
    const isPublic = false;

    it("finds the workspace of each of its keys", () => {
      for (const name of ["one", "two"]) {
        expect(authenticate(directory, { credentials: key(name), isPublic }))
          .to.deep.equal(ok(urgent));
      }
      expect(authenticate(directory, { credentials: key("three"), isPublic }))
        .to.deep.equal(ok(plain));
    });

    it("distinguishes missing, unusable and unknown keys", () => {
      const failures = [
        [{ kind: "none" }, "no_key"],
        [{ kind: "unusable" }, "unusable_key"],
        [key("four"), "unknown_key"],
      ] as const;
      for (const [credentials, failure] of failures) {
        expect(authenticate(directory, { credentials, isPublic }))
          .to.deep.equal(err(failure));
      }
    });
  });

  it("admits everyone on a public route, without a workspace", () => {
    const all: Credentials[] = [
      { kind: "none" },
      { kind: "unusable" },
      key("one"),
      key("four"),
    ];
    for (const credentials of all) {
      expect(authenticate(directory, { credentials, isPublic: true }))
        .to.deep.equal(ok(undefined));
    }
  });
});
