import { expect } from "chai";
import { describe, it } from "mocha";
import {
  identifier,
  type RequestId,
  type WorkClassName,
  type WorkspaceId,
} from "../identity/mod.ts";
import type { CallerRequest } from "../requests/mod.ts";
import type { Rules } from "../../generated/rules.ts";
import { classify, CompiledRules } from "./mod.ts";

const RULES: Rules = {
  classes: [
    { name: "urgent", priority: 0, deadlineSeconds: 5 },
    { name: "normal", priority: 4, deadlineSeconds: 20 },
    { name: "bulk", priority: 9, deadlineSeconds: 60 },
  ],
  defaultClass: "normal",
  matches: [
    { class: "urgent", workspace: "klang", headerName: "X-Alert" },
    { class: "bulk", workspace: "klang", model: "bylaws" },
    { class: "bulk", route: "/reports" },
    { class: "urgent", headerName: "x-kind", headerValue: "cure" },
    { class: "urgent", workspace: "klang" },
  ],
};

function request(changes: Partial<CallerRequest> = {}): CallerRequest {
  return {
    requestId: identifier<RequestId>("request"),
    workspace: identifier<WorkspaceId>("other"),
    work: {
      kind: "generation",
      model: "bylaws",
      messages: [],
      mostOutputTokens: 10,
    },
    headers: {},
    ...changes,
  };
}

const inKlang = { workspace: identifier<WorkspaceId>("klang") };

describe("classify", () => {
  it("returns the default class if nothing matches", () => {
    expect(classify(request(), RULES).name).to.equal("normal");
  });

  it("uses the first of several matches", () => {
    const alert = request({ ...inKlang, headers: { "x-alert": "1" } });
    expect(classify(alert, RULES).name).to.equal("urgent");
    expect(classify(request(inKlang), RULES).name).to.equal("bulk");
  });

  it("matches a header by its value", () => {
    const name = (value: string) =>
      classify(request({ headers: { "x-kind": value } }), RULES).name;
    expect(name("cure")).to.equal("urgent");
    expect(name("other")).to.equal("normal");
  });

  it("matches a route by whole segments", () => {
    const name = (path: string) =>
      classify(
        request({
          work: {
            kind: "service",
            method: "GET",
            path,
            body: "",
            idempotent: true,
          },
        }),
        RULES,
      ).name;
    expect(name("/reports/7?full=1")).to.equal("bulk");
    expect(name("/reports-of-others")).to.equal("normal");
  });

  // A caller requests the urgent class for all of its requests. If that were
  // granted, every caller would do so, and the alerts would wait behind them.
  it("lets a caller request less urgent classes only", () => {
    const classFor = (className: string) =>
      classify(
        request({ className: identifier<WorkClassName>(className) }),
        RULES,
      ).name;
    expect(classFor("urgent")).to.equal("normal");
    expect(classFor("bulk")).to.equal("bulk");
    expect(classFor("unknown")).to.equal("normal");
  });

  it("returns the same class with and without precompiled rules", () => {
    const compiled = new CompiledRules(RULES);
    for (const each of [request(), request(inKlang)]) {
      expect(classify(each, RULES, { compiled })).to.equal(
        compiled.classOf(each),
      );
    }
  });
});
