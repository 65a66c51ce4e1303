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

  it("gives the same list where the platform says that nothing changed", async () => {
    const first = (await list.read())._unsafeUnwrap();
    expect((await list.read())._unsafeUnwrap()).to.equal(first);
  });

  // A VM begins to leave between two reads. A reader that kept to its copy
  // would go on sending it work.
  it("reads the list anew once it has changed", async () => {
    const [vm] = (await list.read())._unsafeUnwrap();
    standIn.set([]);
    expect(vm.leaving).to.equal(true);
    expect((await list.read())._unsafeUnwrap()).to.deep.equal([]);
  });

  // The list is down. Taken for an empty list, every side would look gone and
  // all work would be refused.
  it("does not take an outage for an empty list", async () => {
    standIn.down = true;
    expect((await list.read())._unsafeUnwrapErr().name).to.equal(
      "vm_list_unavailable",
    );
  });
});
