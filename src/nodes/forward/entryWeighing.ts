import type { Clock } from '../../core/index.js'
import { createFleetShare, createOwnWeight, type EntryWeight, type ReportedWeight, toReportedWeight, weightOf } from '../../entryWeights/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import type { KnownEntry } from '../../peers/index.js'

export interface EntryWeighingOptions {
  clock: Clock
  capacity: () => number
  /** All other live entries. */
  otherEntries: () => readonly KnownEntry[]
  /** Whether the settings name other entries. */
  expectsOthers: boolean
  log: EventLog
}

/** What this entry knows of its own weight. */
export interface EntryWeighing {
  own (): EntryWeight
  /** Share of the callers that this entry asks for, relative to the other entries. */
  weight (): number
  /** The part of the fleet's budgets that this entry may use. */
  shareOfFleet (): number
  /** The part of its reports that tells the weight. */
  report (): ReportedWeight
  /** Records what a timer of this process shows of its load. */
  record (timerLateMs: number, inFlightCount: number): void
}

/**
 * Creates the weighing of one entry.
 *
 * @example
 * const weighing = createEntryWeighing({ clock, capacity: () => settings().capacity, otherEntries, expectsOthers: true, log })
 */
export const createEntryWeighing = ({ clock, capacity, otherEntries, expectsOthers, log }: EntryWeighingOptions): EntryWeighing => {
  const weight = createOwnWeight({
    clock,
    capacity,
    onStepChanged: (loadStep, { timerLateMs, inFlightPerCore }) => log(LogEvent.EntryLoadChanged, {
      loadStep, capacity: capacity(), timerLateMs: Math.round(timerLateMs), inFlightPerCore: Math.round(inFlightPerCore)
    })
  })
  const otherCapacities = () => otherEntries().map(({ weight: { capacity: other } }) => other)
  const share = createFleetShare({ clock, ownCapacity: capacity, otherCapacities, expectsOthers })
  return {
    own: weight.current,
    weight: () => weightOf(weight.current()),
    report: () => toReportedWeight(weight.current()),
    shareOfFleet: share.current,
    record: (timerLateMs, inFlightCount) => {
      weight.record({ timerLateMs, inFlightPerCore: inFlightCount / capacity() })
      share.observe()
    }
  }
}
