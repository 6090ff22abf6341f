/** What is known about the execution of a request once its life has ended. */
export enum Outcome {
  /** The request ran and its answer is whole. */
  Ran = 'ran',
  /** Proof exists that the request did not run: it never left the entry, or the agent voided it. */
  NotRun = 'not-run',
  /** The request may or may not have run. */
  Unknown = 'unknown'
}
