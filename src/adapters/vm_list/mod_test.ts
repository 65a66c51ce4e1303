import { expect } from "chai";
import { VmListStandIn } from "../../../test/stand_ins/vm_list.ts";
import { SystemTimerService } from "../time/mod.ts";
import { HttpVmList } from "./mod.ts";

describe("HttpVmList", () => {
  let standIn: VmListStandIn;
  let list: HttpVmList;

  beforeEach(async () => {
    standIn = new VmListStandIn();
    standIn.set([{
      id: "vm-1",
      address: "10.0.0.1:7200",
      role: "side",
      availability_zone: "shah-alam",
      leaving: true,
    }]);
    const url = `http://127.0.0.1:${await standIn.listen()}`;
    list = new HttpVmList(url, { timer: new SystemTimerService() });
  });

  afterEach(async () => {
    list.close();
    await standIn.close();
  });

  it("reads the list", async () => {
    expect((await list.read())._unsafeUnwrap()).to.deep.equal([{
      id: "vm-1",
      address: "10.0.0.1:7200",
      role: "side",
      availabilityZone: "shah-alam",
      leaving: true,
    }]);
  });

  it("returns the cached list when the platform reports no change", async () => {
    const first = (await list.read())._unsafeUnwrap();
    expect((await list.read())._unsafeUnwrap()).to.equal(first);
  });

  // A VM starts to leave between two reads. A client that kept using its cached
  // list would continue to send it work.
  it("reads the list again once it has changed", async () => {
    const [vm] = (await list.read())._unsafeUnwrap();
    standIn.set([]);
    expect(vm.leaving).to.equal(true);
    expect((await list.read())._unsafeUnwrap()).to.deep.equal([]);
  });

  // If an outage were treated as an empty list, every side would appear to be
  // gone and all work would be refused.
  it("does not treat an outage as an empty list", async () => {
    standIn.down = true;
    expect((await list.read())._unsafeUnwrapErr().name).to.equal(
      "vm_list_unavailable",
    );
  });
});
