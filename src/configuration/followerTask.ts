import { type Core, createLog, createTask, dispatch, type HandlerTable, type LogClient, type LogPage, LogUnavailableError, type Task } from '../core/index.js'
import {
  type FollowerEffect, FollowerEffectKind, type FollowerMessage, FollowerMessageKind, type Snapshot, type StateDocument
} from './followerTypes.js'

const log = createLog('follower')

const FOLLOWER_TICK_MS = 250

export interface FollowerTaskOptions<Body, Document extends StateDocument, ModelEffect extends { kind: string }> {
  stream: string
  client: LogClient
  core: Core<FollowerMessage<Body, Document>, FollowerEffect<Document> | ModelEffect>
  toPage: (readId: number, page: LogPage) => FollowerMessage<Body, Document>
  /** Encodes a snapshot as the body of a log record. */
  toSnapshotRecord: (snapshot: Snapshot<Document>) => unknown
  askPeers: (aboveOffset: number) => void
  sendState: (peerId: string, document: Document, retainedSinceMs: number | undefined) => void
  onOwnEffect: (effect: ModelEffect) => void
  /** Reply to an EndRequested message: whether every record that existed at the request has been applied. */
  onEnd?: (requestId: string, isReached: boolean) => void
  /** Called after each page that reaches the end of the log. */
  onCaughtUp?: (offset: number) => void
  /** Called while neither the log nor any peer helps to recover from a gap. */
  onGapPersists?: (offset: number, replayed: Document | undefined) => void
  /** Called when a call to the log fails. */
  onLogFailure?: () => void
}

const FOLLOWER_EFFECT_KINDS: ReadonlySet<string> = new Set(Object.values(FollowerEffectKind))

const isFollowerEffect = <Document extends StateDocument, ModelEffect extends { kind: string }>(
  effect: FollowerEffect<Document> | ModelEffect
): effect is FollowerEffect<Document> => FOLLOWER_EFFECT_KINDS.has(effect.kind)

/**
 * Runs the reader of one log stream: reads pages, appends snapshots and exchanges states with peers.
 *
 * @example
 * const task = createFollowerTask({ stream: CONFIGURATION_STREAM, client, core: reader, ... })
 * task.post({ kind: FollowerMessageKind.OffsetSeen, offset: 12 })
 */
export const createFollowerTask = <Body, Document extends StateDocument, ModelEffect extends { kind: string }>({
  stream, client, core, toPage, toSnapshotRecord, askPeers, sendState, onOwnEffect, onEnd, onCaughtUp, onGapPersists, onLogFailure
}: FollowerTaskOptions<Body, Document, ModelEffect>): Task<FollowerMessage<Body, Document>> => {
  const reportFailure = (error: unknown) => {
    if (!(error instanceof LogUnavailableError)) throw error
    log('stream %s: %s', stream, error.message)
    onLogFailure?.()
  }

  const read = async (readId: number, fromOffset: number) => {
    try {
      task.post(toPage(readId, await client.read(stream, fromOffset)))
    } catch (error) {
      reportFailure(error)
      task.post({ kind: FollowerMessageKind.LogFailed })
    }
  }

  const append = async (snapshot: Snapshot<Document>) => {
    try {
      await client.append(stream, toSnapshotRecord(snapshot))
    } catch (error) {
      reportFailure(error)
    }
  }

  const effectHandlers: HandlerTable<FollowerEffect<Document>, void> = {
    [FollowerEffectKind.ReadLog]: ({ readId, fromOffset }) => { read(readId, fromOffset) },
    [FollowerEffectKind.AskPeers]: ({ aboveOffset }) => askPeers(aboveOffset),
    [FollowerEffectKind.SendState]: ({ peerId, document, retainedSinceMs }) => sendState(peerId, document, retainedSinceMs),
    [FollowerEffectKind.CaughtUp]: ({ offset }) => onCaughtUp?.(offset),
    [FollowerEffectKind.GapPersists]: ({ offset, replayed }) => {
      log('stream %s: records after offset %d have expired and no peer has a newer state', stream, offset)
      onGapPersists?.(offset, replayed)
    },
    [FollowerEffectKind.EndReached]: ({ requestId }) => onEnd?.(requestId, true),
    [FollowerEffectKind.EndFailed]: ({ requestId }) => onEnd?.(requestId, false),
    [FollowerEffectKind.AppendSnapshot]: ({ snapshot }) => { append(snapshot) }
  }

  const task = createTask<FollowerMessage<Body, Document>, FollowerEffect<Document> | ModelEffect>({
    name: 'follower',
    core,
    perform: effect => isFollowerEffect(effect) ? dispatch(effectHandlers, effect) : onOwnEffect(effect)
  })
  task.tickEvery(FOLLOWER_TICK_MS, () => ({ kind: FollowerMessageKind.Tick }))
  task.post({ kind: FollowerMessageKind.Tick })
  return task
}
