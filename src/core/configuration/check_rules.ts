import type { Inventory } from "../../generated/inventory.ts";
import type { ClassMatch, Rules } from "../../generated/rules.ts";
import { type ConfigurationProblem, duplicates, problem } from "./problem.ts";

/**
 * Checks of rules that the schema can't express, such as references to the
 * inventory.
 */
export function checkRules(
  rules: Rules,
  inventory: Inventory,
): ConfigurationProblem[] {
  const classes = new Set(rules.classes.map((entry) => entry.name));
  const problems = duplicates(rules.classes.map((entry) => entry.name), {
    path: (index) => `/rules/classes/${index}/name`,
    label: "class name",
  });
  const expected = `one of ${[...classes].join(", ")}`;
  if (!classes.has(rules.defaultClass)) {
    problems.push(problem("/rules/defaultClass", {
      found: rules.defaultClass,
      expected,
    }));
  }
  problems.push(...checkShares(rules));
  (rules.matches ?? []).forEach((match, index) => {
    problems.push(...checkMatch(match, {
      path: `/rules/matches/${index}`,
      classes,
      models: modelsOf(inventory),
    }));
  });
  return problems;
}

/**
 * Tolerance for rounding: sums of shares such as 0.1 + 0.2 + 0.7 differ from 1
 * by less than this.
 */
const SHARE_ROUNDING = 1e-9;

function checkShares(rules: Rules): ConfigurationProblem[] {
  const shares = rules.classes.map((entry) => entry.share ?? 0);
  const total = shares.reduce((sum, share) => sum + share, 0);
  if (total <= 1 + SHARE_ROUNDING) return [];
  return [problem("/rules/classes", {
    found: `shares that add up to ${total}`,
    expected: "shares that add up to 1 at most",
  })];
}

function checkMatch(
  match: ClassMatch,
  options: {
    path: string;
    classes: ReadonlySet<string>;
    models: ReadonlySet<string>;
  },
): ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  if (!options.classes.has(match.class)) {
    problems.push(problem(`${options.path}/class`, {
      found: match.class,
      expected: `one of ${[...options.classes].join(", ")}`,
    }));
  }
  if (match.model !== undefined && !options.models.has(match.model)) {
    problems.push(problem(`${options.path}/model`, {
      found: match.model,
      expected: `one of ${[...options.models].join(", ")}`,
    }));
  }
  if (match.headerValue !== undefined && match.headerName === undefined) {
    problems.push(problem(`${options.path}/headerName`, {
      found: undefined,
      expected: "the name of the header whose value is matched",
    }));
  }
  return problems;
}

function modelsOf(inventory: Inventory): ReadonlySet<string> {
  return new Set(inventory.pools.flatMap((pool) => pool.models ?? []));
}
