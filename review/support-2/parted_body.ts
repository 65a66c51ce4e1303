/** The two parts of the whole body of the answer to a request. */
export function bodyParts(requestId: string): [first: string, second: string] {
  return [`status of ${requestId}: `, "the lining has cured\n"];
}
