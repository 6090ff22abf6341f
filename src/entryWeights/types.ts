import type { LoadStep } from './constants.js'

/** What an entry tells the others of its weight. */
export interface EntryWeight {
  /** Cores that the entry can use, or fewer if its link, memory or descriptors serve fewer. */
  capacity: number
  loadStep: LoadStep
}

/** Weight in a report; a field is left out at its default, so that the reports of entries without limits do not grow. */
export type ReportedWeight = Partial<EntryWeight>

/** Limits of a host as its settings state them; an absent one binds nothing. */
export interface HostLimits {
  /** Part of the cores that the process may use. */
  cpuShare?: number | undefined
  cores?: number | undefined
  linkMbps?: number | undefined
  memoryMb?: number | undefined
  fdsMax?: number | undefined
}

/** What an entry measures about itself in one interval. */
export interface LoadSample {
  /** How late a timer of the process ran. */
  timerLateMs: number
  /** Requests in flight for each core of its capacity. */
  inFlightPerCore: number
}
