import {
  isBoolean,
  isCount,
  isObjectOf,
  isText,
} from "../../../core/validation/mod.ts";

/** Notification of the configuration that is in force at an entry. */
export const CONFIGURATION_METHOD = "entry.configuration";

export interface ConfigurationNotification {
  readonly entry: string;
  readonly version: number;
  /** True if the sender has just read that the store has no newer version. */
  readonly isCurrent: boolean;
}

export const isConfigurationNotification = isObjectOf<
  ConfigurationNotification
>({ entry: isText, version: isCount, isCurrent: isBoolean });
