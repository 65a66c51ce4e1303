/** Notifications between entries: types, checks, and one table of handlers. */
export {
  createNotificationHandlers,
  type NotificationParts,
} from "./notification_handlers.ts";
export {
  type DroppedNotification,
  type DropReason,
  NotificationReceiver,
  type NotificationReceiverOptions,
} from "./notification_receiver.ts";
export type {
  Broadcast,
  Notification,
  NotificationMethod,
  NotificationParams,
  SendToPeer,
  SendToPeers,
} from "./notifications.ts";
export type { RegistrationChange } from "./registration_notification.ts";
