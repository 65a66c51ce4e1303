import { expect } from "chai";
import {
  identifier,
  type ServiceName,
  type SoftwareVersion,
  type StreamDigest,
} from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import {
  STREAM_LIFETIME_MILLISECONDS,
  type StreamOrigin,
  StreamOrigins,
} from "./stream_origins.ts";

const STREAM = identifier<StreamDigest>("one");
const MAX_STREAMS = 50_000;

function originAt(version: string, pool = "engines"): StreamOrigin {
  return {
    pool: identifier<ServiceName>(pool),
    softwareVersion: identifier<SoftwareVersion>(version),
  };
}

describe("StreamOrigins", () => {
  let timer: ManualTimerService;
  let origins: StreamOrigins;

  beforeEach(() => {
    timer = new ManualTimerService();
    origins = new StreamOrigins(timer);
  });

  it("finds the pool and version that began a stream", () => {
    origins.record({ stream: STREAM, origin: originAt("v1") });
    origins.record({ stream: STREAM, origin: originAt("v1") });
    expect(origins.find(STREAM)).to.deep.equal(originAt("v1"));
    expect(origins.find(identifier<StreamDigest>("two"))).to.equal(undefined);
  });

  for (const version of ["", "__proto__", "x".repeat(5_000)]) {
    it(`keeps a version of ${version.length} characters apart`, () => {
      origins.record({ stream: STREAM, origin: originAt(version) });
      expect(origins.find(STREAM)).to.deep.equal(originAt(version));
    });
  }

  // Two attempts of one id may begin at once, at two entries.
  for (const other of [originAt("v2"), originAt("v1", "portal")]) {
    it(`does not choose between v1 and ${other.pool} ${other.softwareVersion}`, () => {
      origins.record({ stream: STREAM, origin: originAt("v1") });
      origins.record({ stream: STREAM, origin: other });
      origins.record({ stream: STREAM, origin: originAt("v1") });
      expect(origins.find(STREAM)).to.equal("ambiguous");
    });
  }

  it("forgets streams that can't be taken up any more", async () => {
    origins.record({ stream: STREAM, origin: originAt("v1") });
    await timer.advance(STREAM_LIFETIME_MILLISECONDS);
    expect(origins.find(STREAM)).to.equal(undefined);
  });

  it("drops the oldest streams beyond its bound", () => {
    for (let count = 0; count <= MAX_STREAMS; count++) {
      const stream = identifier<StreamDigest>(`stream-${count}`);
      origins.record({ stream, origin: originAt("v1") });
    }
    expect(origins.size).to.equal(MAX_STREAMS);
    expect(origins.find(identifier<StreamDigest>("stream-0")))
      .to.equal(undefined);
    expect(origins.find(identifier<StreamDigest>("stream-1")))
      .to.deep.equal(originAt("v1"));
  });
});
