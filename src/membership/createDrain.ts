import { type Clock, type Core, dispatch, type HandlerTable, ResultCode, type TimestampMs } from '../core/index.js'
import { NodeRole } from '../links/index.js'
import { ADDRESS_LIFETIME_MS, DIRECTORY_SETTLE_MS } from './constants.js'

/** Phase of the graceful shutdown of a process. */
export enum DrainPhase {
  Serving = 'serving',
  Draining = 'draining',
  Done = 'done'
}

export enum DrainMessageKind {
  StopRequested = 'stop-requested',
  /** New work: a request at an entry, a dispatch at an agent. */
  WorkOffered = 'work-offered',
  WorkEnded = 'work-ended',
  LinkOpened = 'link-opened',
  Tick = 'tick'
}

export type DrainMessage =
  | { kind: DrainMessageKind.StopRequested }
  | { kind: DrainMessageKind.WorkOffered, workId: string }
  | { kind: DrainMessageKind.WorkEnded, workId: string }
  | { kind: DrainMessageKind.LinkOpened, linkId: string }
  | { kind: DrainMessageKind.Tick }

/** Effects that the drain core asks its task to perform. */
export enum DrainEffectKind {
  /** Announces the drain by gossip and, at an agent, by a Drain frame on every open link. */
  AnnounceDraining = 'announce-draining',
  /** Sends a Drain frame on one link that opened after the announcement. */
  AnnounceOnLink = 'announce-on-link',
  AcceptWork = 'accept-work',
  RefuseWork = 'refuse-work',
  DrainDone = 'drain-done'
}

export type DrainEffect =
  | { kind: DrainEffectKind.AnnounceDraining }
  | { kind: DrainEffectKind.AnnounceOnLink, linkId: string }
  | { kind: DrainEffectKind.AcceptWork, workId: string }
  /** The outcome of the code is "not run". */
  | { kind: DrainEffectKind.RefuseWork, workId: string, code: ResultCode.Draining }
  /** `abortedWorkIds`: work that was still open when the limit from the settings was reached. */
  | { kind: DrainEffectKind.DrainDone, abortedWorkIds: string[] }

export interface DrainSettings {
  /** Longest lifetime of addresses that any entry of the fleet hands out. */
  addressLifetimeMs?: number
  /** Time until every directory has received the update that an entry is draining. */
  settleMs?: number
  /** How long an agent keeps the responses of finished runs. */
  keepAnswersMs?: number
  /** Limit on the wait for open work, counted from when new work is no longer accepted. */
  workLimitMs: number
}

interface DrainPolicy {
  /** Time after the stop request during which new work is still accepted. */
  acceptForMs: number
  keepAfterWorkMs: number
}

/**
 * Entries keep serving callers that hold addresses from before the drain. Agents refuse new work at
 * once, since entries can send it to other agents.
 */
const DRAIN_POLICIES: Record<NodeRole, (settings: DrainSettings) => DrainPolicy> = {
  [NodeRole.Entry]: ({ addressLifetimeMs = ADDRESS_LIFETIME_MS, settleMs = DIRECTORY_SETTLE_MS }) =>
    ({ acceptForMs: settleMs + addressLifetimeMs, keepAfterWorkMs: 0 }),
  [NodeRole.Agent]: ({ keepAnswersMs = 0 }) => ({ acceptForMs: 0, keepAfterWorkMs: keepAnswersMs })
}

export interface DrainOptions {
  role: NodeRole
  settings: DrainSettings
  clock: Clock
}

/**
 * Shuts a process down without aborting requests in flight. A drain can't be cancelled: the process
 * is replaced by a new incarnation.
 *
 * An entry is first removed from the directory, serves until the last address handed out has expired,
 * and is done when its streams have ended. An agent refuses new work at once and is done when its runs
 * have ended and the retention time of their responses has passed.
 *
 * @example
 * const drain = createDrain({ role: NodeRole.Entry, settings: { workLimitMs: 600_000 }, clock })
 * drain.handle({ kind: DrainMessageKind.StopRequested }) // [{ kind: DrainEffectKind.AnnounceDraining }]
 */
export const createDrain = ({ role, settings, clock }: DrainOptions): Core<DrainMessage, DrainEffect> => {
  const policy = DRAIN_POLICIES[role](settings)
  const openWorkIds = new Set<string>()
  let phase = DrainPhase.Serving
  let stopMs: TimestampMs = 0
  let lastWorkEndedMs: TimestampMs | undefined

  const acceptUntilMs = () => stopMs + policy.acceptForMs

  const isAccepting = () => phase === DrainPhase.Serving ||
    (phase === DrainPhase.Draining && clock.nowMs() < acceptUntilMs())

  const checkDone = (): DrainEffect[] => {
    const nowMs = clock.nowMs()
    if (phase !== DrainPhase.Draining || nowMs < acceptUntilMs()) return []
    const isLate = nowMs >= acceptUntilMs() + settings.workLimitMs
    if (openWorkIds.size > 0 && !isLate) return []
    if (lastWorkEndedMs !== undefined && nowMs < lastWorkEndedMs + policy.keepAfterWorkMs) return []
    phase = DrainPhase.Done
    return [{ kind: DrainEffectKind.DrainDone, abortedWorkIds: [...openWorkIds] }]
  }

  const handlers: HandlerTable<DrainMessage, DrainEffect[]> = {
    [DrainMessageKind.StopRequested]: () => {
      if (phase !== DrainPhase.Serving) return []
      phase = DrainPhase.Draining
      stopMs = clock.nowMs()
      return [{ kind: DrainEffectKind.AnnounceDraining }, ...checkDone()]
    },
    [DrainMessageKind.WorkOffered]: ({ workId }) => {
      if (!isAccepting()) return [{ kind: DrainEffectKind.RefuseWork, workId, code: ResultCode.Draining }]
      openWorkIds.add(workId)
      return [{ kind: DrainEffectKind.AcceptWork, workId }]
    },
    [DrainMessageKind.WorkEnded]: ({ workId }) => {
      if (openWorkIds.delete(workId)) lastWorkEndedMs = clock.nowMs()
      return checkDone()
    },
    [DrainMessageKind.LinkOpened]: ({ linkId }) =>
      phase === DrainPhase.Serving ? [] : [{ kind: DrainEffectKind.AnnounceOnLink, linkId }],
    [DrainMessageKind.Tick]: checkDone
  }

  return { handle: message => dispatch(handlers, message) }
}
