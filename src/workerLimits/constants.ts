/** Entries are told for this time that a worker no longer names a limit. */
export const LIFTED_LIMIT_KEEP_MS = 30_000
