import type { Clock } from '../../core/index.js'
import type { WorkerRun } from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import {
  type BlockedTraits, createCrashRecord, type CrashReport, type LostRequest, type RequestContent, partTraits, requestTrait, type Trait, traitsOf
} from '../../quarantine/index.js'

export interface CrashMonitorOptions {
  clock: Clock
  log: EventLog
  /** Called when the other entries need to learn of a change. */
  onChanged: () => void
}

/** A lost attempt as far as crashes are concerned. */
export type LostAttempt = Omit<LostRequest, 'traits'> & { hasAnswerBegun: boolean }

/** The crash record of an entry, in terms of requests and workers; changes are logged and told to the other entries. */
export interface CrashMonitor {
  /** Returns the traits for which a request must not be sent to any worker. */
  findBlocked (request: RequestContent): BlockedTraits | undefined
  readonly blockedCount: number
  recordLost (worker: WorkerRun, request: RequestContent, attempt: LostAttempt): void
  recordWorkerDown (worker: WorkerRun): void
  /** Records that a worker began to answer the request. */
  recordAnswerBegun (request: RequestContent): void
  /** Records a response of any status, which shows that the request as a whole crashes no worker. */
  recordResponse (request: RequestContent): void
  adoptPeerReport (report: CrashReport): void
  createReport (): CrashReport
}

/**
 * Creates the crash monitor of one entry.
 *
 * @example
 * const crashes = createCrashMonitor({ clock, log, onChanged })
 * crashes.findBlocked(request)
 */
export const createCrashMonitor = ({ clock, log, onChanged }: CrashMonitorOptions): CrashMonitor => {
  const record = createCrashRecord({ clock })
  let loggedBlocked: readonly BlockedTraits[] = []

  const logBlocked = () => {
    const blocked = record.blocked()
    if (JSON.stringify(blocked) === JSON.stringify(loggedBlocked)) return
    loggedBlocked = blocked
    log(LogEvent.BlockedTraitsChanged, { blocked })
  }

  const recordAnswer = (traits: readonly Trait[]) => {
    const cleared = record.recordAnswer(traits)
    if (cleared.length === 0) return
    log(LogEvent.TraitsCleared, { traits: cleared })
    logBlocked()
    onChanged()
  }

  return {
    findBlocked: request => record.isEmpty ? undefined : record.findBlocked(traitsOf(request)),
    get blockedCount () { return record.blocked().length },
    recordLost: (worker, request, { sentAtMs, hasHead, hasAnswerBegun }) => record.recordLost(worker, {
      traits: hasAnswerBegun ? [requestTrait(request)] : traitsOf(request), sentAtMs, hasHead
    }),
    recordWorkerDown: ({ workerId, startedAtUnixMs }) => {
      const traits = record.recordDown({ workerId, startedAtUnixMs })
      if (traits.length === 0) return
      log(LogEvent.WorkerCrashed, { workerId, startedAtUnixMs, traits })
      logBlocked()
      onChanged()
    },
    recordAnswerBegun: request => recordAnswer(partTraits(request)),
    recordResponse: request => {
      if (!record.isEmpty) recordAnswer([requestTrait(request)])
    },
    adoptPeerReport: report => {
      // The other entries must learn at once of an answer to what one of them suspects.
      if (record.mergePeerReport(report)) onChanged()
      logBlocked()
    },
    createReport: record.createReport
  }
}
