import {
  isRegisteredEndpoint,
  type RegisteredEndpoint,
  type TopicSpan,
} from "../../../core/forwarding/mod.ts";
import type { EndpointId } from "../../../core/identity/mod.ts";
import {
  isBoolean,
  isId,
  isListOf,
  isNumber,
  isObjectOf,
  isOptional,
} from "../../../core/validation/mod.ts";

/** Notification that carries changed registrations. */
export const REGISTRATIONS_METHOD = "entry.registrations";

/** Change of a registration; without an endpoint it was removed. */
export interface RegistrationChange {
  readonly id: EndpointId;
  readonly endpoint?: RegisteredEndpoint;
  /** True if the record under the key is not a valid registration. */
  readonly unreadable?: boolean;
}

/** Changes that an entry has read, or that an endpoint has announced. */
export interface RegistrationNotification {
  readonly changes: readonly RegistrationChange[];
  /** The span that was read; absent if the changes were not read. */
  readonly span?: TopicSpan;
}

const isChange = isObjectOf<RegistrationChange>({
  // The key of an unreadable record may have any characters.
  id: isId,
  endpoint: isOptional(isRegisteredEndpoint),
  unreadable: isOptional(isBoolean),
});

/**
 * Checks the whole notification: if one change were left out, the receiver
 * would count its span as read and never learn of it.
 */
export const isRegistrationNotification = isObjectOf<RegistrationNotification>({
  changes: isListOf((value): value is RegistrationChange =>
    isChange(value) && (value.endpoint?.id ?? value.id) === value.id
  ),
  span: isOptional(isObjectOf<TopicSpan>({ from: isNumber, to: isNumber })),
});
