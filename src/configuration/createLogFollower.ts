import { type Clock, type Core, dispatch, type HandlerTable, type Random, type TimestampMs } from '../core/index.js'
import { ASK_PEERS_INTERVAL_MS, FollowerRule, GAP_PERSISTS_MS, READ_INTERVAL_MS, READ_TIMEOUT_MS } from './constants.js'
import { createEndRequests } from './endRequests.js'
import {
  type FollowedRecord, type FollowerEffect, FollowerEffectKind, type FollowerMessage, FollowerMessageKind, type Snapshot,
  type StateDocument, type StreamModel
} from './followerTypes.js'
import { createSnapshotSchedule } from './snapshotSchedule.js'

export interface LogFollowerOptions {
  clock: Clock
  random: Random
  /** Retention time of the log. */
  retentionMs: number
  disabledRules?: ReadonlySet<FollowerRule>
}

type FollowerCore<Body, Document extends StateDocument, Effect> =
  Core<FollowerMessage<Body, Document>, FollowerEffect<Document> | Effect>

/**
 * Applies one stream of the log in offset order. A gap is a range of unread records that the log no
 * longer retains. The follower recovers from a gap only with a snapshot or a peer's state that is
 * newer than its own. It appends snapshots before the records that they cover expire.
 *
 * @example
 * const follower = createLogFollower(model, { clock, random, retentionMs })
 * follower.handle({ kind: FollowerMessageKind.Tick }) // [{ kind: FollowerEffectKind.ReadLog, fromOffset: 1 }]
 */
export const createLogFollower = <State extends { offset: number }, Body, Document extends StateDocument, Effect>(
  model: StreamModel<State, Body, Document, Effect>,
  { clock, random, retentionMs, disabledRules = new Set() }: LogFollowerOptions
): FollowerCore<Body, Document, Effect> => {
  type Effects = Array<FollowerEffect<Document> | Effect>
  type Page = Extract<FollowerMessage<Body, Document>, { kind: FollowerMessageKind.LogPageRead }>

  const schedule = createSnapshotSchedule({ clock, random, retentionMs })
  const isRuleEnabled = (rule: FollowerRule) => !disabledRules.has(rule)
  let state = model.getDefaultState()
  let firstOffset = 1
  let nextOffset = 1
  let highestSeenOffset = 0
  /** Offset from which to scan for a snapshot while there is a gap. */
  let scanOffset = 1
  let readSentMs: TimestampMs | undefined
  let nextReadMs = clock.nowMs()
  let nextPeerRequestMs = clock.nowMs()
  let isLogFailing = false
  let lastDocument: Document | undefined
  let lastReadId = 0
  let gapReportDueMs: TimestampMs | undefined
  /** Copy of the state with the records after the gap applied; a reader without a state cannot restart the others. */
  let replayedState: State | undefined
  /** Offset of the state that the replay started from; a late page or a peer may have advanced the state since. */
  let replayBaseOffset = 0
  const endRequests = createEndRequests()

  const hasGap = () => state.offset + 1 < firstOffset
  const needsPeers = () => hasGap() || (isLogFailing && (state.offset === 0 || highestSeenOffset > state.offset))

  const readLog = (): Effects => {
    if (readSentMs !== undefined) return []
    const nowMs = clock.nowMs()
    readSentMs = nowMs
    nextReadMs = nowMs + READ_INTERVAL_MS * (0.75 + 0.5 * random.next())
    const fromOffset = hasGap() ? Math.max(scanOffset, firstOffset) : state.offset + 1
    lastReadId += 1
    return [{ kind: FollowerEffectKind.ReadLog, readId: lastReadId, fromOffset }]
  }

  const askPeers = (): Effects => {
    const nowMs = clock.nowMs()
    if (!needsPeers() || nowMs < nextPeerRequestMs) return []
    nextPeerRequestMs = nowMs + ASK_PEERS_INTERVAL_MS * (0.75 + 0.5 * random.next())
    return [{ kind: FollowerEffectKind.AskPeers, aboveOffset: state.offset }]
  }

  /** Caches the document, as many peers request it at once and the state changes only with its offset. */
  const currentDocument = (): Document => {
    if (lastDocument === undefined || lastDocument.offset !== state.offset) lastDocument = model.toDocument(state)
    return lastDocument
  }

  const replaceState = (newState: State): Effects => {
    const oldState = state
    lastDocument = undefined
    state = newState
    return model.changesBetween(oldState, state)
  }

  const loadDocument = (document: Document): Effects => replaceState(model.fromDocument(document))

  const isTrusted = (document: Document) =>
    (!isRuleEnabled(FollowerRule.HashChecked) || model.isIntact(document)) &&
    (!isRuleEnabled(FollowerRule.PeerMustBeHigher) || !model.wouldRegress(state, document))

  /** Loads a snapshot to recover from a gap, if it is not older than the state and the records after it are retained. */
  const recoverFromSnapshot = (snapshot: Snapshot<Document>): Effects => {
    const { document } = snapshot
    if (!hasGap() || document.offset < state.offset || document.offset + 1 < firstOffset) return []
    return isTrusted(document) ? loadDocument(document) : []
  }

  const recordSnapshot = (snapshot: Snapshot<Document>, timeMs: TimestampMs) => {
    schedule.recordRetained(Math.min(snapshot.takenMs, timeMs))
  }

  const applyRecord = (record: FollowedRecord<Body>): Effects => {
    const snapshot = model.snapshotOf(record.body)
    if (!isRuleEnabled(FollowerRule.SnapshotNeverBackwards) && snapshot !== undefined) {
      const effects = loadDocument(snapshot.document)
      state.offset = record.offset
      return effects
    }
    const effects = model.apply(state, record)
    state.offset = record.offset
    if (schedule.retainedSinceMs === undefined) schedule.recordRetained(record.timeMs)
    return effects
  }

  const applyInOrder = (records: Page['records']): Effects => {
    const effects: Effects = []
    for (const record of records) {
      const isNext = record.offset === state.offset + 1 ||
        (!isRuleEnabled(FollowerRule.GapStopsReading) && record.offset > state.offset)
      if (isNext) effects.push(...applyRecord(record))
    }
    return effects
  }

  const failEndRequests = (): Effects =>
    endRequests.takeAll().map(requestId => ({ kind: FollowerEffectKind.EndFailed, requestId }))

  const completeEndRequests = (): Effects => hasGap()
    ? []
    : endRequests.takeReached(state.offset).map(requestId => ({ kind: FollowerEffectKind.EndReached, requestId }))

  const replayAfterGap = (records: Page['records']) => {
    if (model.replaysAfterGap !== true || !hasGap() || state.offset === 0) {
      replayedState = undefined
      return
    }
    if (replayedState === undefined || replayBaseOffset !== state.offset || replayedState.offset + 1 < firstOffset) {
      replayBaseOffset = state.offset
      replayedState = model.fromDocument(model.toDocument(state))
      replayedState.offset = firstOffset - 1
    }
    for (const record of records) {
      if (record.offset !== replayedState.offset + 1) continue
      model.apply(replayedState, record)
      replayedState.offset = record.offset
    }
    scanOffset = replayedState.offset + 1
  }

  const onPage = ({ readId, records, firstOffset: pageFirstOffset, nextOffset: pageNextOffset }: Page): Effects => {
    if (readId === lastReadId) readSentMs = undefined
    endRequests.observePage(readId, pageNextOffset)
    isLogFailing = false
    firstOffset = Math.max(firstOffset, pageFirstOffset)
    nextOffset = Math.max(nextOffset, pageNextOffset)
    const effects: Effects = []
    // Starts from the newest snapshot, which leaves the fewest records to replay.
    for (let i = records.length - 1; i >= 0; i--) {
      const record = records[i]!
      // A page that arrives late may contain records that the state already covers.
      const reset = hasGap() && record.offset > state.offset ? model.resetTo?.(record) : undefined
      if (reset !== undefined) effects.push(...replaceState(reset))
      const snapshot = model.snapshotOf(record.body)
      if (snapshot === undefined) continue
      recordSnapshot(snapshot, record.timeMs)
      effects.push(...recoverFromSnapshot(snapshot))
    }
    effects.push(...applyInOrder(records))
    scanOffset = Math.max(scanOffset, (records.at(-1)?.offset ?? 0) + 1)
    replayAfterGap(records)
    effects.push(...askPeers(), ...completeEndRequests())
    if (!hasGap() && state.offset + 1 >= pageNextOffset) {
      effects.push({ kind: FollowerEffectKind.CaughtUp, offset: state.offset })
    }
    const readOffset = hasGap() ? Math.max(scanOffset, firstOffset) : state.offset + 1
    // After a page without records, an immediate read would only add load to the log.
    const isMoreReadable = readOffset < nextOffset && records.length > 0
    if (isMoreReadable || endRequests.needsRead()) effects.push(...readLog())
    return effects
  }

  const onPeerState = (document: Document, retainedSinceMs: TimestampMs | undefined): Effects => {
    if (isRuleEnabled(FollowerRule.PeerMustBeHigher) && document.offset <= state.offset) return []
    if (!isTrusted(document)) return []
    const effects = loadDocument(document)
    if (retainedSinceMs !== undefined) schedule.recordRetained(retainedSinceMs)
    return isLogFailing ? effects : [...effects, ...readLog()]
  }

  const onLogFailed = (): Effects => {
    readSentMs = undefined
    isLogFailing = true
    return [...failEndRequests(), ...askPeers()]
  }

  const appendSnapshot = (): Effects => {
    // A snapshot must be recent, and only a reader at the end of the log knows that its state is.
    const isCurrent = !isLogFailing && state.offset > 0 && state.offset + 1 === nextOffset && !hasGap()
    if (!isCurrent || !schedule.isDue()) return []
    schedule.recordAppend()
    const snapshot = { document: currentDocument(), takenMs: clock.nowMs() }
    return [{ kind: FollowerEffectKind.AppendSnapshot, snapshot }]
  }

  const reportGap = (): Effects => {
    const nowMs = clock.nowMs()
    if (!hasGap() || isLogFailing) {
      gapReportDueMs = undefined
      return []
    }
    // The random part of the delay lets one reader act before the others.
    gapReportDueMs ??= nowMs + GAP_PERSISTS_MS * (1 + 0.5 * random.next())
    if (nowMs < gapReportDueMs) return []
    gapReportDueMs = undefined
    const isReplayed = replayedState !== undefined && replayBaseOffset === state.offset && replayedState.offset + 1 >= nextOffset
    return [{ kind: FollowerEffectKind.GapPersists, offset: state.offset, replayed: isReplayed ? model.toDocument(replayedState!) : undefined }]
  }

  const onTick = (): Effects => {
    const nowMs = clock.nowMs()
    const isTimedOut = readSentMs !== undefined && nowMs - readSentMs > READ_TIMEOUT_MS
    const effects = isTimedOut ? onLogFailed() : []
    return [...effects, ...(nowMs >= nextReadMs ? readLog() : []), ...askPeers(), ...appendSnapshot(), ...reportGap()]
  }

  const handlers: HandlerTable<FollowerMessage<Body, Document>, Effects> = {
    [FollowerMessageKind.LogPageRead]: onPage,
    [FollowerMessageKind.SnapshotSeen]: ({ snapshot, timeMs, firstOffset: snapshotFirstOffset }) => {
      firstOffset = Math.max(firstOffset, snapshotFirstOffset)
      recordSnapshot(snapshot, timeMs)
      const effects = recoverFromSnapshot(snapshot)
      return effects.length > 0 ? [...effects, ...readLog()] : effects
    },
    [FollowerMessageKind.PeerStateReceived]: ({ document, retainedSinceMs }) => onPeerState(document, retainedSinceMs),
    [FollowerMessageKind.PeerStateRequested]: ({ peerId, aboveOffset }) => state.offset <= aboveOffset
      ? []
      : [{
          kind: FollowerEffectKind.SendState,
          peerId,
          document: currentDocument(),
          retainedSinceMs: schedule.retainedSinceMs
        }],
    [FollowerMessageKind.OffsetSeen]: ({ offset }) => {
      highestSeenOffset = Math.max(highestSeenOffset, offset)
      if (highestSeenOffset <= state.offset) return []
      return isLogFailing || hasGap() ? askPeers() : readLog()
    },
    [FollowerMessageKind.EndRequested]: ({ requestId }) =>
      endRequests.add(requestId, lastReadId) ? readLog() : [{ kind: FollowerEffectKind.EndFailed, requestId }],
    [FollowerMessageKind.LogFailed]: onLogFailed,
    [FollowerMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message) }
}
