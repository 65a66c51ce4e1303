import { defineError } from "../../core/errors/mod.ts";

/** No byte of the message reached the peer. */
export const LINK_NOT_SENT = defineError<{ address: string; detail: string }>()(
  {
    name: "link_not_sent",
    title: "Peer cannot be reached",
    message: (values) =>
      `Nothing was sent to ${values.address}: ${values.detail}`,
    hint:
      "Check that the peer is running and that its address in the inventory or settings is correct",
  },
);

/** The message was sent; whether the peer handled it is unknown. */
export const LINK_LOST = defineError<{ address: string; detail: string }>()({
  name: "link_lost",
  title: "Response of a peer was lost",
  message: (values) =>
    `The message to ${values.address} may have arrived: ${values.detail}`,
  hint:
    "The system recovers by itself; a constant rate points to the network between the VMs",
});

/** The server for peers cannot bind its address. */
export const CANNOT_LISTEN = defineError<{ address: string; detail: string }>()(
  {
    name: "cannot_listen",
    title: "Address is not available",
    message: (values) => `Cannot listen on ${values.address}: ${values.detail}`,
    hint:
      "Check host and port in the settings and whether another process uses them",
  },
);
