/** The state that an entry sends a peer which can't read the store. */
import {
  type ForwardingConfiguration,
  isCallerLimits,
  isPool,
  isRegisteredEndpoint,
  isRoute,
  isWorkspaceKeys,
  type Pool,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import {
  isCount,
  isListOf,
  isNumber,
  isObjectOf,
  isOptional,
  isRow,
  isText,
} from "../../core/validation/mod.ts";

/** Forwarding state of an entry as sent to a peer. */
export interface ForwardingState {
  /** Time since the store was last read, in milliseconds. */
  readonly age: number;
  readonly configuration:
    & Omit<ForwardingConfiguration, "pools">
    & { readonly pools: readonly Pool[] };
  readonly endpoints: readonly RegisteredEndpoint[];
  /** Names and datagram addresses of the entries, the sender included. */
  readonly entries?: readonly FleetMember[];
}

/** Name and datagram address of an entry. */
export type FleetMember = readonly [name: string, address: string];

/**
 * Checks the whole state: what is applied of it stays in force until the store
 * is back, and which part of it is wrong can't be known.
 */
export const isForwardingState = isObjectOf<ForwardingState>({
  age: isNumber,
  configuration: isObjectOf<ForwardingState["configuration"]>({
    version: isCount,
    routes: isListOf(isRoute),
    pools: isListOf(isPool),
    limits: isCallerLimits,
    workspaces: isOptional(isListOf(isWorkspaceKeys)),
  }),
  endpoints: isListOf(isRegisteredEndpoint),
  entries: isOptional(isListOf(isRow<FleetMember>([isText, isText]))),
});
