import { type Clock, dispatch, fingerprint, type HandlerTable, type TimestampMs } from '../../core/index.js'
import {
  CRASH_CONFIRM_MS, CRASH_KEEP_MS, type CrashReport, createCrashRecord, createRecentAnswers, type LostRequest, NOTICE_PARTS_MAX, parsePartNotice,
  type PartNotice, PartNoticeKind, partTraits, REPORTED_SURVIVAL_MS, type Trait
} from '../../quarantine/index.js'
import { AttemptResult, type SubmittedRequest } from '../../requests/index.js'

/** Sends a notice to all other entries. */
export type PartBroadcast = (id: string, notice: PartNotice, lifetimeMs: number) => void

export interface PartQuarantineOptions {
  clock: Clock
  broadcast: PartBroadcast
}

/** Blocks prompt parts that crash upstreams at one entry, although no two of the requests are alike. */
export interface PartQuarantine {
  isBlocked (request: SubmittedRequest): boolean
  recordDispatch (request: SubmittedRequest, agentId: string): void
  recordEnd (request: SubmittedRequest, agentId: string, result: AttemptResult): void
  /** Handles the crash of an upstream; the same crash may be reported by several agents. */
  onUpstreamDied (agentId: string, crashId: string): void
  onBroadcast (id: string, payload: unknown): void
}

const KNOWN_CRASHES_MAX = 1_024

/** An attempt that its upstream has not answered to the end. */
interface UnansweredAttempt {
  agentId: string
  traits: readonly Trait[]
  sentAtMs: TimestampMs
  /** When the request ended, if it has; the report of the crash may arrive later. */
  endedAtMs: TimestampMs | undefined
}

/** What the end of an attempt says about its upstream. */
enum EndEvidence {
  /** The upstream may turn out to have crashed. */
  MayHaveCrashed = 'may-have-crashed',
  /** The upstream has answered to the end, and may have crashed right after it. */
  Answered = 'answered',
  None = 'none'
}

const EVIDENCE: Record<AttemptResult, EndEvidence> = {
  [AttemptResult.Finished]: EndEvidence.Answered,
  [AttemptResult.Refused]: EndEvidence.None,
  [AttemptResult.UpstreamDied]: EndEvidence.MayHaveCrashed,
  [AttemptResult.Lost]: EndEvidence.MayHaveCrashed,
  [AttemptResult.Cancelled]: EndEvidence.None
}

const chunk = <Item>(items: readonly Item[]): Item[][] => {
  const chunks: Item[][] = []
  for (let at = 0; at < items.length; at += NOTICE_PARTS_MAX) chunks.push(items.slice(at, at + NOTICE_PARTS_MAX))
  return chunks
}

/**
 * Creates the quarantine of prompt parts at one entry. The agents report crashes; which requests had not been answered to the
 * end then is known to the entries that sent them.
 *
 * @example
 * const parts = createPartQuarantine({ clock, broadcast })
 * parts.isBlocked(request)
 */
export const createPartQuarantine = ({ clock, broadcast }: PartQuarantineOptions): PartQuarantine => {
  const record = createCrashRecord({ clock })
  const unanswered = new Map<string, UnansweredAttempt>()
  const recentAnswers = createRecentAnswers({ clock, survivalMs: REPORTED_SURVIVAL_MS })
  const knownCrashIds = new Set<string>()

  const attemptKey = ({ requestId }: SubmittedRequest, agentId: string) => `${requestId}/${agentId}`

  const traitsOf = ({ model, promptParts }: SubmittedRequest) => partTraits({ model, promptParts })

  /** The id is that of the content and time, as equal ids of several entries would be taken for one broadcast. */
  const send = (notice: PartNotice) => broadcast(fingerprint(`${clock.nowMs()}/${JSON.stringify(notice)}`), notice, CRASH_KEEP_MS)

  const expireEnded = () => {
    for (const [key, { endedAtMs }] of unanswered) {
      if (endedAtMs !== undefined && clock.nowMs() - endedAtMs > CRASH_CONFIRM_MS) unanswered.delete(key)
    }
  }

  /** Takes the requests that an upstream had not answered to the end when it crashed, or only just. */
  const takeSuspects = (agentId: string): LostRequest[] => {
    expireEnded()
    const waiting = [...unanswered].filter(([, attempt]) => attempt.agentId === agentId)
    for (const [key] of waiting) unanswered.delete(key)
    const answered = recentAnswers.takeOf(agentId).map(({ parts, sentAtMs }) => ({ traits: parts, sentAtMs, hasHead: false }))
    return [...waiting.map(([, { traits, sentAtMs }]) => ({ traits, sentAtMs, hasHead: false })), ...answered]
  }

  const announceCrash = (crashId: string, traits: readonly Trait[], lost: readonly LostRequest[]) => {
    const lastSentMs = (trait: Trait) => Math.max(...lost.filter(request => request.traits.includes(trait)).map(({ sentAtMs }) => sentAtMs))
    for (const part of chunk(traits)) {
      const waitedMs = Object.fromEntries(part.map(trait => [trait, Math.max(0, Math.round(clock.nowMs() - lastSentMs(trait)))]))
      send({ kind: PartNoticeKind.Crashed, crashId, waitedMs })
    }
  }

  const announceAnswers = (traits: readonly Trait[]) => chunk(traits).forEach(parts => send({ kind: PartNoticeKind.Answered, parts }))

  const countProvenAnswers = () => {
    for (const { parts, answeredAtMs } of recentAnswers.takeProven()) announceAnswers(record.recordAnswer(parts, answeredAtMs))
  }

  const noticeHandlers: HandlerTable<PartNotice, void> = {
    [PartNoticeKind.Crashed]: ({ crashId, waitedMs }) => {
      const crashes: CrashReport['crashes'] = {}
      for (const [trait, sentAgoMs] of Object.entries(waitedMs)) crashes[trait as Trait] = [[crashId, sentAgoMs, 0, false]]
      record.mergePeerReport({ crashes, answeredAgoMs: {} })
    },
    [PartNoticeKind.Answered]: ({ parts }) => { record.recordAnswer(parts) }
  }

  return {
    isBlocked: request => {
      countProvenAnswers()
      return !record.isEmpty && record.findBlocked(traitsOf(request)) !== undefined
    },
    recordDispatch: (request, agentId) => {
      const traits = traitsOf(request)
      if (traits.length > 0) unanswered.set(attemptKey(request, agentId), { agentId, traits, sentAtMs: clock.nowMs(), endedAtMs: undefined })
    },
    recordEnd: (request, agentId, result) => {
      const key = attemptKey(request, agentId)
      const attempt = unanswered.get(key)
      if (attempt === undefined) return
      const evidence = EVIDENCE[result]
      if (evidence === EndEvidence.MayHaveCrashed) {
        expireEnded()
        attempt.endedAtMs = clock.nowMs()
        return
      }
      unanswered.delete(key)
      if (evidence === EndEvidence.Answered) recentAnswers.add(agentId, { parts: attempt.traits, sentAtMs: attempt.sentAtMs })
      countProvenAnswers()
    },
    onUpstreamDied: (agentId, crashId) => {
      if (knownCrashIds.has(crashId)) return
      knownCrashIds.add(crashId)
      const [oldest] = knownCrashIds
      if (knownCrashIds.size > KNOWN_CRASHES_MAX && oldest !== undefined) knownCrashIds.delete(oldest)
      const run = { workerId: crashId, startedAtUnixMs: 0 }
      const lost = takeSuspects(agentId)
      for (const request of lost) record.recordLost(run, request)
      announceCrash(crashId, [...new Set(record.recordDown(run))], lost)
    },
    onBroadcast: (_id, payload) => dispatch(noticeHandlers, parsePartNotice(payload))
  }
}
