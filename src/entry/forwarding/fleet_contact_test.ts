import { expect } from "chai";
import { ManualTimerService } from "../../core/time/mod.ts";
import { FleetContact } from "./fleet_contact.ts";

const SHORT_MILLISECONDS = 1_000;
const LONG_MILLISECONDS = 60_000;

describe("FleetContact", () => {
  let timer: ManualTimerService;
  let peers: number;
  let peerHeardAt: number;
  let contact: FleetContact;

  beforeEach(() => {
    timer = new ManualTimerService();
    peers = 2;
    peerHeardAt = -Infinity;
    contact = new FleetContact({
      timer,
      peerCount: () => peers,
      hasHeardPeer: (milliseconds) => timer.now() - peerHeardAt < milliseconds,
    });
    contact.recordRegistrations(0);
  });

  // Such an entry continues streams at replicas that were replaced meanwhile.
  it("is lost once neither the store nor a peer has been in reach", async () => {
    await timer.advance(SHORT_MILLISECONDS);
    expect(contact.isLost).to.equal(false);
    await timer.advance(SHORT_MILLISECONDS);
    expect(contact.isLost).to.equal(true);
    contact.recordRegistrations(0);
    expect(contact.isLost).to.equal(false);
  });

  // The store may be silent for minutes, and streams go on meanwhile.
  it("is not lost while the store is silent and a peer is heard", async () => {
    await timer.advance(LONG_MILLISECONDS);
    peerHeardAt = timer.now();
    expect(contact.isLost).to.equal(false);
  });

  it("is not lost while the store is silent and a peer answers", async () => {
    await timer.advance(LONG_MILLISECONDS);
    contact.recordPeerAnswer();
    expect(contact.isLost).to.equal(false);
  });

  it("is not lost while the store is silent and no peer is listed", async () => {
    peers = 0;
    await timer.advance(LONG_MILLISECONDS);
    expect(contact.isLost).to.equal(false);
  });

  it("counts the age of what a peer has read", async () => {
    await timer.advance(LONG_MILLISECONDS);
    contact.recordRegistrations(SHORT_MILLISECONDS);
    expect(contact.registrationAgeMilliseconds).to.equal(SHORT_MILLISECONDS);
    contact.recordRegistrations(LONG_MILLISECONDS);
    expect(contact.registrationAgeMilliseconds).to.equal(SHORT_MILLISECONDS);
  });
});
