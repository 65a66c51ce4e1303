/**
 * Lint rule: no promise of a call is discarded with `void`. What it throws later
 * would have no owner and end the process; `TimerService.run` gives it one.
 */
const PRODUCT_FOLDERS = /\/(src|platform)\//;
const TESTS = /_test\.ts$|\/platform\/test\//;
/** Methods of Node's streams and sockets that return no promise. */
const SYNCHRONOUS_METHODS: ReadonlySet<string> = new Set([
  "destroy",
  "end",
  "pause",
  "push",
  "resume",
]);

const plugin: Deno.lint.Plugin = {
  name: "filbertshore",
  rules: {
    "owned-promises": {
      create(context) {
        const isProduct = PRODUCT_FOLDERS.test(context.filename) &&
          !TESTS.test(context.filename);
        if (!isProduct) return {};
        return {
          'UnaryExpression[operator="void"]'(node: Deno.lint.UnaryExpression) {
            const call = node.argument;
            const isAwaitable = call.type === "CallExpression" &&
              !isSynchronous(call.callee);
            if (!isAwaitable) return;
            context.report({
              node,
              message: "The promise of this call has no owner",
              hint: "Begin the step with TimerService.run",
            });
          },
        };
      },
    },
  },
};

function isSynchronous(callee: Deno.lint.Expression): boolean {
  const member = callee.type === "ChainExpression" ? callee.expression : callee;
  return member.type === "MemberExpression" &&
    member.property.type === "Identifier" &&
    SYNCHRONOUS_METHODS.has(member.property.name);
}

export default plugin;
