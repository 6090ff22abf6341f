import { type Clock, createLog, createTask, dispatch, type HandlerTable, type LogClient, ownerByRendezvous, ResultCode, type Task } from '../../core/index.js'
import { type Frame, FrameKind, parseFrame } from '../../links/index.js'
import { type Metrics, MetricName, SpanName, type Tracing } from '../../observe/index.js'
import {
  type BindReply, type BindRequest, bindFrameSchema, createBindingOwner, ONCE_SHARDS, onceStream, type OwnerEffect,
  OwnerEffectKind, type OwnerMessage, OwnerMessageKind
} from '../../once/index.js'
import { REQUEST_TICK_MS } from '../../requests/index.js'

const log = createLog('once')

const TASK_CAPACITY = 16_384

export interface OwnerTaskOptions {
  client: LogClient
  clock: Clock
  windowMs: number
  metrics: Metrics
  tracing: Tracing
  /** Sends a reply to the requesting entry by its link address. */
  reply: (address: string, reply: BindReply) => void
  ownAddress: () => string
}

/** Owner of the idempotency key shards that are assigned to this entry. */
export interface OwnerTask {
  /** Sets the link addresses of the entries that the shards are divided among. */
  setEntries (addresses: readonly string[]): void
  ownerOf (shard: number): string | undefined
  bind (fromAddress: string, request: BindRequest, traceparent: string | undefined): void
  onBind (frame: Frame): void
  setWindow (windowMs: number): void
  readonly ownedCount: number
  stop (): void
}

/**
 * Creates the task that binds the keys of this entry's shards and records the bindings in the log.
 *
 * @example
 * const owner = createOwnerTask({ client, clock, windowMs, metrics, tracing, reply, ownAddress })
 * owner.setEntries(['10.0.0.1:7101', '10.0.1.1:7101'])
 */
export const createOwnerTask = (
  { client, clock, windowMs, metrics, tracing, reply, ownAddress }: OwnerTaskOptions
): OwnerTask => {
  let entries: readonly string[] = []
  const owned = new Set<number>()
  const spanEnds = new Map<string, (code: ResultCode) => void>()

  const append = async ({ shard, ticket, stream, record }: Extract<OwnerEffect, { kind: OwnerEffectKind.Append }>) => {
    try {
      task.post({ kind: OwnerMessageKind.AppendDone, shard, ticket, offset: await client.append(stream, record) })
    } catch {
      metrics.record(MetricName.LogFailuresTotal, 1)
      task.post({ kind: OwnerMessageKind.AppendFailed, shard, ticket })
    }
  }

  const read = async ({ shard, ticket, stream, fromOffset, recordsMax }: Extract<OwnerEffect, { kind: OwnerEffectKind.Read }>) => {
    try {
      const page = await client.read(stream, fromOffset, recordsMax)
      task.post({ kind: OwnerMessageKind.PageRead, shard, ticket, page })
    } catch {
      metrics.record(MetricName.LogFailuresTotal, 1)
      task.post({ kind: OwnerMessageKind.ReadFailed, shard, ticket })
    }
  }

  const performers: HandlerTable<OwnerEffect, void> = {
    [OwnerEffectKind.Append]: effect => { append(effect) },
    [OwnerEffectKind.Read]: effect => { read(effect) },
    [OwnerEffectKind.Reply]: ({ to, reply: bindReply }) => {
      metrics.record(MetricName.BindingsTotal, 1, { code: String(bindReply.code) })
      spanEnds.get(bindReply.requestId)?.(bindReply.code)
      spanEnds.delete(bindReply.requestId)
      reply(to, bindReply)
    },
    [OwnerEffectKind.RetentionTooShort]: ({ shard }) => log('stream %s retains less than the idempotency window', onceStream(shard))
  }

  const task: Task<OwnerMessage> = createTask({
    name: 'once', core: createBindingOwner({ clock, windowMs }), perform: effect => dispatch(performers, effect), capacity: TASK_CAPACITY
  })
  task.tickEvery(REQUEST_TICK_MS, () => ({ kind: OwnerMessageKind.Tick }))

  const ownerOf = (shard: number) => ownerByRendezvous(onceStream(shard), entries)

  const setEntries = (addresses: readonly string[]) => {
    entries = addresses
    for (let shard = 0; shard < ONCE_SHARDS; shard++) {
      const isOwn = ownerOf(shard) === ownAddress()
      if (isOwn === owned.has(shard)) continue
      if (isOwn) owned.add(shard)
      else owned.delete(shard)
      task.post({ kind: isOwn ? OwnerMessageKind.ShardGained : OwnerMessageKind.ShardLost, shard })
    }
  }

  const bind = (fromAddress: string, request: BindRequest, traceparent: string | undefined) => {
    // An entry retries an unanswered bind request with the same request id; one span covers all tries.
    if (traceparent !== undefined && !spanEnds.has(request.requestId)) {
      spanEnds.set(request.requestId, tracing.startSpan(SpanName.Owner, traceparent, { requestId: request.requestId, shard: request.shard }).end)
    }
    task.post({ kind: OwnerMessageKind.BindRequested, from: fromAddress, request })
  }

  return {
    setEntries,
    ownerOf,
    bind,
    onBind: frame => {
      const { replyAddress, request, traceparent } = parseFrame(bindFrameSchema, frame)
      bind(replyAddress, request as BindRequest, traceparent)
    },
    setWindow: changedMs => { task.post({ kind: OwnerMessageKind.WindowChanged, windowMs: changedMs }) },
    get ownedCount () { return owned.size },
    stop: () => task.stop()
  }
}

/** Creates the frame that carries the reply of an owner. */
export const toBoundFrame = (reply: BindReply): Frame => ({ kind: FrameKind.Bound, reply })
