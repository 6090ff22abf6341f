/** What is known about the execution of a request after it has ended. */
export enum Outcome {
  /** The request ran and its response is complete. */
  Ran = 'ran',
  /** The request provably did not run: the entry never sent it, or the agent voided it. */
  NotRun = 'not-run',
  /** It is not known whether the request ran. */
  Unknown = 'unknown'
}
