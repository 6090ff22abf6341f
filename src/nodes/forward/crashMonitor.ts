import type { Clock, TimestampMs } from '../../core/index.js'
import type { WorkerRun } from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import {
  type AnsweredRequest, type BlockedTraits, createCrashRecord, type CrashReport, type LostRequest, type RequestContent, partTraits, requestTrait,
  type Trait, traitsOf
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
  /** Records that a worker has answered the request to the end. */
  recordAnswered (worker: WorkerRun, request: RequestContent, sentAtMs: TimestampMs): void
  /** Records a whole response that reports a failure, which shows that the request as a whole crashes no worker. */
  recordFailed (worker: WorkerRun, request: RequestContent, sentAtMs: TimestampMs): void
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

  const countProvenAnswers = () => {
    const cleared: readonly Trait[] = record.countProvenAnswers()
    if (cleared.length === 0) return
    log(LogEvent.TraitsCleared, { traits: cleared })
    logBlocked()
    onChanged()
  }

  const recordAnswered = (worker: WorkerRun, answered: AnsweredRequest) => {
    record.recordAnswered(worker, answered)
    countProvenAnswers()
  }

  return {
    findBlocked: request => {
      countProvenAnswers()
      return record.isEmpty ? undefined : record.findBlocked(traitsOf(request))
    },
    get blockedCount () { return record.blocked().length },
    recordLost: (worker, request, { sentAtMs, hasHead, hasAnswerBegun }) => record.recordLost(worker, {
      traits: traitsOf(request), sentAtMs, hasHead: hasHead && !hasAnswerBegun
    }),
    recordWorkerDown: ({ workerId, startedAtUnixMs }) => {
      const traits = record.recordDown({ workerId, startedAtUnixMs })
      countProvenAnswers()
      if (traits.length === 0) return
      log(LogEvent.WorkerCrashed, { workerId, startedAtUnixMs, traits })
      logBlocked()
      onChanged()
    },
    recordAnswered: (worker, request, sentAtMs) =>
      recordAnswered(worker, { parts: partTraits(request), requestTrait: requestTrait(request), sentAtMs }),
    recordFailed: (worker, request, sentAtMs) =>
      recordAnswered(worker, { parts: [], requestTrait: requestTrait(request), sentAtMs }),
    adoptPeerReport: report => {
      countProvenAnswers()
      // The other entries must learn at once of an answer to what one of them suspects.
      if (record.mergePeerReport(report)) onChanged()
      logBlocked()
    },
    createReport: record.createReport
  }
}
