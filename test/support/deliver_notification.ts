import {
  NOTIFICATION_CHECKS,
  type NotificationMethod,
  type NotificationParams,
} from "../../src/entry/forwarding/notifications/notifications.ts";

/**
 * Passes received parameters to the handler of a notification if they are
 * valid; returns whether they are.
 */
export function deliverNotification<Method extends NotificationMethod>(
  method: Method,
  params: unknown,
  { handler }: {
    readonly handler: (params: NotificationParams[Method]) => void;
  },
): boolean {
  const isValid = NOTIFICATION_CHECKS[method](params);
  if (isValid) handler(params as NotificationParams[Method]);
  return isValid;
}
