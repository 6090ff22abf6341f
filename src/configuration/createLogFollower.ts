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
  /** How long the log keeps a record. */
  retentionMs: number
  disabledRules?: ReadonlySet<FollowerRule>
}

type FollowerCore<Body, Document extends StateDocument, Effect> =
  Core<FollowerMessage<Body, Document>, FollowerEffect<Document> | Effect>

/**
 * Follows one stream of the log in offset order. It passes a gap only with a snapshot or a peer's
 * state that is newer than its own, and appends snapshots before the records they cover expire.
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
  const isOn = (rule: FollowerRule) => !disabledRules.has(rule)
  let state = model.getDefaultState()
  let firstOffset = 1
  let nextOffset = 1
  let seenOffset = 0
  /** Next offset to search for a snapshot while there is a gap. */
  let scanOffset = 1
  let readSentMs: TimestampMs | undefined
  let nextReadMs = clock.nowMs()
  let nextAskMs = clock.nowMs()
  let isLogFailing = false
  let lastDocument: Document | undefined
  let lastReadId = 0
  let gapReportMs: TimestampMs | undefined
  /** The state with the records after the gap applied; only a reader that has a state can restart others. */
  let replay: State | undefined
  /** Offset of the state that the replay began from; a late page or a peer may have moved the state on since. */
  let replayedFrom = 0
  const endRequests = createEndRequests()

  const hasGap = () => state.offset + 1 < firstOffset
  const needsPeers = () => hasGap() || (isLogFailing && (state.offset === 0 || seenOffset > state.offset))

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
    if (!needsPeers() || nowMs < nextAskMs) return []
    nextAskMs = nowMs + ASK_PEERS_INTERVAL_MS * (0.75 + 0.5 * random.next())
    return [{ kind: FollowerEffectKind.AskPeers, aboveOffset: state.offset }]
  }

  /** The state changes only with its offset, and many peers ask for it at once. */
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

  const load = (document: Document): Effects => replaceState(model.fromDocument(document))

  const isTrusted = (document: Document) =>
    (!isOn(FollowerRule.HashChecked) || model.isIntact(document)) &&
    (!isOn(FollowerRule.PeerMustBeHigher) || !model.replacesByLower(state, document))

  /** Loads a snapshot to cross a gap, if the records after it are readable and it is not older. */
  const crossGap = (snapshot: Snapshot<Document>): Effects => {
    const { document } = snapshot
    if (!hasGap() || document.offset < state.offset || document.offset + 1 < firstOffset) return []
    return isTrusted(document) ? load(document) : []
  }

  const noteSnapshot = (snapshot: Snapshot<Document>, timeMs: TimestampMs) => {
    schedule.noteRetained(Math.min(snapshot.takenMs, timeMs))
  }

  const applyOne = (record: FollowedRecord<Body>): Effects => {
    const snapshot = model.snapshotOf(record.body)
    if (!isOn(FollowerRule.SnapshotNeverBackwards) && snapshot !== undefined) {
      const effects = load(snapshot.document)
      state.offset = record.offset
      return effects
    }
    const effects = model.apply(state, record)
    state.offset = record.offset
    if (schedule.retainedSinceMs === undefined) schedule.noteRetained(record.timeMs)
    return effects
  }

  const applyInOrder = (records: Page['records']): Effects => {
    const effects: Effects = []
    for (const record of records) {
      const isNext = record.offset === state.offset + 1 ||
        (!isOn(FollowerRule.GapStopsReading) && record.offset > state.offset)
      if (isNext) effects.push(...applyOne(record))
    }
    return effects
  }

  const endsFailed = (): Effects =>
    endRequests.takeAll().map(requestId => ({ kind: FollowerEffectKind.EndFailed, requestId }))

  const endsReached = (): Effects => hasGap()
    ? []
    : endRequests.takeReached(state.offset).map(requestId => ({ kind: FollowerEffectKind.EndReached, requestId }))

  const replayOverGap = (records: Page['records']) => {
    if (model.replaysOverGap !== true || !hasGap() || state.offset === 0) {
      replay = undefined
      return
    }
    if (replay === undefined || replayedFrom !== state.offset || replay.offset + 1 < firstOffset) {
      replayedFrom = state.offset
      replay = model.fromDocument(model.toDocument(state))
      replay.offset = firstOffset - 1
    }
    for (const record of records) {
      if (record.offset !== replay.offset + 1) continue
      model.apply(replay, record)
      replay.offset = record.offset
    }
    scanOffset = replay.offset + 1
  }

  const onPage = ({ readId, records, firstOffset: pageFirst, nextOffset: pageNext }: Page): Effects => {
    if (readId === lastReadId) readSentMs = undefined
    endRequests.notePage(readId, pageNext)
    isLogFailing = false
    firstOffset = Math.max(firstOffset, pageFirst)
    nextOffset = Math.max(nextOffset, pageNext)
    const effects: Effects = []
    // The newest snapshot leaves the fewest records to replay.
    for (let i = records.length - 1; i >= 0; i--) {
      const record = records[i]!
      // A page that arrives late may hold a record from before the state.
      const reset = hasGap() && record.offset > state.offset ? model.resetTo?.(record) : undefined
      if (reset !== undefined) effects.push(...replaceState(reset))
      const snapshot = model.snapshotOf(record.body)
      if (snapshot === undefined) continue
      noteSnapshot(snapshot, record.timeMs)
      effects.push(...crossGap(snapshot))
    }
    effects.push(...applyInOrder(records))
    scanOffset = Math.max(scanOffset, (records.at(-1)?.offset ?? 0) + 1)
    replayOverGap(records)
    effects.push(...askPeers(), ...endsReached())
    if (!hasGap() && state.offset + 1 >= pageNext) {
      effects.push({ kind: FollowerEffectKind.CaughtUp, offset: state.offset })
    }
    const readOffset = hasGap() ? Math.max(scanOffset, firstOffset) : state.offset + 1
    // A page without records makes no progress; asking again at once would only load the log.
    const isMoreReadable = readOffset < nextOffset && records.length > 0
    if (isMoreReadable || endRequests.needsRead()) effects.push(...readLog())
    return effects
  }

  const onPeerState = (document: Document, retainedSinceMs: TimestampMs | undefined): Effects => {
    if (isOn(FollowerRule.PeerMustBeHigher) && document.offset <= state.offset) return []
    if (!isTrusted(document)) return []
    const effects = load(document)
    if (retainedSinceMs !== undefined) schedule.noteRetained(retainedSinceMs)
    return isLogFailing ? effects : [...effects, ...readLog()]
  }

  const onLogFailed = (): Effects => {
    readSentMs = undefined
    isLogFailing = true
    return [...endsFailed(), ...askPeers()]
  }

  const appendSnapshot = (): Effects => {
    // Only a reader at the end of the log knows that its state is recent.
    const isCurrent = !isLogFailing && state.offset > 0 && state.offset + 1 === nextOffset && !hasGap()
    if (!isCurrent || !schedule.isDue()) return []
    schedule.noteAppended()
    const snapshot = { document: currentDocument(), takenMs: clock.nowMs() }
    return [{ kind: FollowerEffectKind.AppendSnapshot, snapshot }]
  }

  const reportGap = (): Effects => {
    const nowMs = clock.nowMs()
    if (!hasGap() || isLogFailing) {
      gapReportMs = undefined
      return []
    }
    // The random part lets one reader act before the others.
    gapReportMs ??= nowMs + GAP_PERSISTS_MS * (1 + 0.5 * random.next())
    if (nowMs < gapReportMs) return []
    gapReportMs = undefined
    const isReplayed = replay !== undefined && replayedFrom === state.offset && replay.offset + 1 >= nextOffset
    return [{ kind: FollowerEffectKind.GapPersists, offset: state.offset, replayed: isReplayed ? model.toDocument(replay!) : undefined }]
  }

  const onTick = (): Effects => {
    const nowMs = clock.nowMs()
    const isTimedOut = readSentMs !== undefined && nowMs - readSentMs > READ_TIMEOUT_MS
    const effects = isTimedOut ? onLogFailed() : []
    return [...effects, ...(nowMs >= nextReadMs ? readLog() : []), ...askPeers(), ...appendSnapshot(), ...reportGap()]
  }

  const handlers: HandlerTable<FollowerMessage<Body, Document>, Effects> = {
    [FollowerMessageKind.LogPageRead]: onPage,
    [FollowerMessageKind.SnapshotSeen]: ({ snapshot, timeMs, firstOffset: snapshotFirst }) => {
      firstOffset = Math.max(firstOffset, snapshotFirst)
      noteSnapshot(snapshot, timeMs)
      const effects = crossGap(snapshot)
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
      seenOffset = Math.max(seenOffset, offset)
      if (seenOffset <= state.offset) return []
      return isLogFailing || hasGap() ? askPeers() : readLog()
    },
    [FollowerMessageKind.EndRequested]: ({ requestId }) =>
      endRequests.add(requestId, lastReadId) ? readLog() : [{ kind: FollowerEffectKind.EndFailed, requestId }],
    [FollowerMessageKind.LogFailed]: onLogFailed,
    [FollowerMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message) }
}
