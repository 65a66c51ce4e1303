import {
  isListOf,
  isNumber,
  isObjectOf,
  isText,
} from "../../../core/validation/mod.ts";
import { isWorkRows, type WorkRowWithRun } from "./work_notification.ts";

/** Notification that queries an owner for the load of its endpoints. */
export const LOAD_QUERY_METHOD = "entry.loadQuestion";
/** Notification that answers a load query. */
export const LOAD_ANSWER_METHOD = "entry.loadAnswer";

export interface LoadQuery {
  readonly entry: string;
  readonly id: number;
  readonly endpoints: readonly string[];
}

export interface LoadAnswer {
  readonly entry: string;
  readonly id: number;
  readonly work: readonly WorkRowWithRun[];
}

export const isLoadQuery = isObjectOf<LoadQuery>({
  entry: isText,
  id: isNumber,
  endpoints: isListOf(isText),
});

export const isLoadAnswer = isObjectOf<LoadAnswer>({
  entry: isText,
  id: isNumber,
  work: isWorkRows,
});
