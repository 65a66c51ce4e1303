import { expect } from "chai";
import {
  readRequestBody,
  StandInServer,
} from "../../../test/stand_ins/stand_in_server.ts";
import { sendRaw } from "../../../test/support/raw_http.ts";
import { sendProblem } from "./problem.ts";
import { sendWhole } from "./whole_response.ts";

describe("sendWhole", () => {
  it("gives a caller of HTTP/1.0 the length in bytes", async () => {
    const server = new StandInServer(async (request, response) => {
      await readRequestBody(request);
      if (request.url === "/problem") {
        const detail = "Déjà vu";
        return sendProblem(response, {
          kind: "not_run",
          reason: "invalid",
          detail,
        });
      }
      const encoding = request.url === "/latin1" ? "latin1" : undefined;
      sendWhole(response, { status: 200, headers: {}, body: "é", encoding });
    });
    const port = await server.listen();
    for (const path of ["/utf8", "/latin1", "/problem"]) {
      const text = await sendRaw(`GET ${path} HTTP/1.0\r\nHost: h\r\n\r\n`, {
        port,
      });
      const [head, body] = text.split("\r\n\r\n");
      expect(/^content-length: (\d+)$/im.exec(head)?.[1])
        .to.equal(String(body.length));
    }
    await server.close();
  });
});
