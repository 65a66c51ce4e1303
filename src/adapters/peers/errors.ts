import { defineError } from "../../core/errors/mod.ts";

export const LINK_NOT_SENT = defineError<{ address: string; detail: string }>()(
  {
    name: "link_not_sent",
    title: "Peer not reached",
    message: (values) =>
      `Nothing was sent to ${values.address}: ${values.detail}`,
    hint:
      "Check that the peer runs and that its address in the inventory or settings is right",
  },
);

export const LINK_LOST = defineError<{ address: string; detail: string }>()({
  name: "link_lost",
  title: "Peer's answer was lost",
  message: (values) =>
    `The message to ${values.address} may have arrived: ${values.detail}`,
  hint:
    "The system resolves the doubt itself; a steady rate points at the network between the VMs",
});

export const CANNOT_LISTEN = defineError<{ address: string; detail: string }>()(
  {
    name: "cannot_listen",
    title: "Address not available",
    message: (values) => `Cannot listen on ${values.address}: ${values.detail}`,
    hint:
      "Check host and port in the settings and whether another process holds them",
  },
);
