import { type Clock, createTask, dispatch, type HandlerTable, Lane, ResultCode, type TaskFailure } from '../../core/index.js'
import type { Worker, WorkerTable } from '../../membership/index.js'
import { type EventLog, LogEvent, logTaskFailure } from '../../observe/index.js'
import {
  createCallerTable, createForwardCore, type ForwardCore, type ForwardEffect, ForwardEffectKind, type ForwardMessage, ForwardMessageKind,
  type ForwardPorts, type ForwardRequest, FORWARD_TICK_MS, WorkerCheckScope
} from '../../requests/index.js'
import {
  askUpstream, checkUpstream, type ConnectionPool, ConnectionUse, createConnectionPool, type ExchangeEvent, ExchangeEventKind,
  ReadPause, UnsendableRequestError, UpstreamCheck
} from '../../upstreams/index.js'
import { createExchangeBacklog } from './exchangeBacklog.js'
import type { CallerSink, WorkerCodec } from './types.js'

export interface ForwardTaskOptions {
  clock: Clock
  ports: ForwardPorts
  codec: WorkerCodec
  workers: WorkerTable
  /** Whether the workers of a failure domain get no further requests. */
  isEvacuated?: (zone: string) => boolean
  /** Where a worker of a service answers questions about itself; undefined if that is not known. */
  statusPathOf?: (service: string) => string | undefined
  /** See `ForwardCoreOptions`. */
  stallMs?: () => number | undefined
  log: EventLog
  /** Parts of responses that may wait to be handled. */
  responsePartsMax?: number
}

/** The task that owns all requests in flight and the connections to workers. */
export interface ForwardTask {
  submit (request: ForwardRequest, sink: CallerSink): void
  cancel (requestId: string): void
  retryWaitingRequests (): void
  /** Ends all requests, as the process exits. */
  endRequests (): void
  /** Closes all idle connections, which may have fallen silent. */
  discardIdle (): void
  /** Closes idle connections to addresses that no longer belong to a worker, or to one in an evacuated failure domain. */
  closeUnused (): void
  readonly core: Pick<ForwardCore, 'liveCount' | 'waitingCount'>
  readonly openedConnections: number
  /** Messages that the full mailbox of the task has rejected. */
  readonly rejectedMessages: number
  stop (): void
}

/** Lane of each message: parts of responses come as fast as upstreams send them, and must not keep back the others. */
const LANES: Record<ForwardMessageKind, Lane> = {
  [ForwardMessageKind.Submitted]: Lane.Control,
  [ForwardMessageKind.ResponseStarted]: Lane.Bulk,
  [ForwardMessageKind.ResponseBytes]: Lane.Bulk,
  [ForwardMessageKind.ResponseFinished]: Lane.Bulk,
  [ForwardMessageKind.ReadingResumed]: Lane.Bulk,
  [ForwardMessageKind.ExchangeFailed]: Lane.Bulk,
  [ForwardMessageKind.ExchangeOverflowed]: Lane.Control,
  [ForwardMessageKind.RequestUnsendable]: Lane.Control,
  [ForwardMessageKind.ConnectionClosedEarly]: Lane.Control,
  [ForwardMessageKind.WorkerChecked]: Lane.Control,
  [ForwardMessageKind.CallerGone]: Lane.Control,
  [ForwardMessageKind.HandlingFailed]: Lane.Control,
  [ForwardMessageKind.CapacityFreed]: Lane.Control,
  [ForwardMessageKind.ProcessExits]: Lane.Control,
  [ForwardMessageKind.Tick]: Lane.Control
}

const MAILBOX_CAPACITY = 65_536

/**
 * Starts the forward task.
 *
 * @example
 * const task = startForwardTask({ clock, ports, codec, workers, log })
 * task.submit(request, sink)
 */
export const startForwardTask = (
  { clock, ports, codec, workers, isEvacuated = () => false, statusPathOf = () => undefined, stallMs = () => undefined, log, responsePartsMax = MAILBOX_CAPACITY }: ForwardTaskOptions
): ForwardTask => {
  const core = createForwardCore({ clock, ports, stallMs })
  const callers = createCallerTable<CallerSink>({
    fail: sink => sink.onRefuse(ResultCode.AnswerLost, undefined),
    onUndelivered: (requestId, error) => {
      log(LogEvent.ResponseUndelivered, { requestId, reason: error instanceof Error ? error.message : String(error) })
      task.post({ kind: ForwardMessageKind.CallerGone, requestId })
    }
  })
  const pools = new Map<string, ConnectionPool>()
  const cancels = new Map<number, () => void>()
  const backlog = createExchangeBacklog()
  let closedPoolConnections = 0

  const reportClosedEarly = (address: string) => {
    const worker = workers.all().find(candidate => candidate.address === address)
    if (worker !== undefined) task.post({ kind: ForwardMessageKind.ConnectionClosedEarly, worker })
  }

  const poolOf = (address: string): ConnectionPool => {
    const pool = pools.get(address) ?? createConnectionPool({ address, clock, onClosedEarly: () => reportClosedEarly(address) })
    pools.set(address, pool)
    return pool
  }

  const createEventHandlers = (exchangeId: number, callerAttemptId: string): HandlerTable<ExchangeEvent, ForwardMessage> => ({
    [ExchangeEventKind.Head]: ({ head }) =>
      ({ kind: ForwardMessageKind.ResponseStarted, exchangeId, answer: codec.decode(head, callerAttemptId) }),
    [ExchangeEventKind.Body]: ({ bytes }) => ({ kind: ForwardMessageKind.ResponseBytes, exchangeId, bytes }),
    [ExchangeEventKind.Finished]: () => ({ kind: ForwardMessageKind.ResponseFinished, exchangeId }),
    [ExchangeEventKind.Failed]: ({ fault, hasLeft, endedAtMs }) =>
      ({ kind: ForwardMessageKind.ExchangeFailed, exchangeId, hasLeft, reason: fault, fault, ...(endedAtMs === undefined ? {} : { endedAtMs }) })
  })

  const forgetExchange = (exchangeId: number) => {
    cancels.delete(exchangeId)
    backlog.end(exchangeId)
  }

  const cancelExchange = (exchangeId: number) => {
    cancels.get(exchangeId)?.()
    forgetExchange(exchangeId)
  }

  /** Without one of its messages a response would have a gap, so that the exchange ends. */
  const postOfExchange = (exchangeId: number, message: ForwardMessage) => {
    if (task.post(message)) return
    cancelExchange(exchangeId)
    task.post({ kind: ForwardMessageKind.ExchangeOverflowed, exchangeId })
  }

  const askRun = (worker: Worker, onChecked: (check: UpstreamCheck) => void) => {
    const statusPath = statusPathOf(worker.service)
    if (statusPath === undefined) return onChecked(UpstreamCheck.Unknown)
    askUpstream({ address: worker.address, clock, question: codec.askRun(worker, statusPath) }).then(onChecked, () => onChecked(UpstreamCheck.Unknown))
  }

  const workerCheckers: Record<WorkerCheckScope, (worker: Worker, onChecked: (check: UpstreamCheck) => void) => void> = {
    [WorkerCheckScope.Address]: (worker, onChecked) => checkUpstream(worker.address, onChecked),
    [WorkerCheckScope.Run]: askRun
  }

  const performers: HandlerTable<ForwardEffect, void> = {
    [ForwardEffectKind.SendToWorker]: ({ exchangeId, worker, request, remainingMs, lastEventId, needsFreshConnection }) => {
      const toMessage = createEventHandlers(exchangeId, request.callerAttemptId)
      const use = needsFreshConnection ? ConnectionUse.Fresh : ConnectionUse.Reuse
      const outgoing = codec.encode({ request, worker, remainingMs, lastEventId })
      const cancel = poolOf(worker.address).send(outgoing, use, event => {
        if (event.kind === ExchangeEventKind.Body) {
          callers.deliver(request.requestId, sink => sink.onReceived?.(event.bytes.length))
          backlog.recordRead(exchangeId)
        }
        if (event.kind === ExchangeEventKind.Finished || event.kind === ExchangeEventKind.Failed) forgetExchange(exchangeId)
        try {
          postOfExchange(exchangeId, dispatch(toMessage, event))
        } catch (error) {
          // A response that cannot be decoded is lost; its connection is closed.
          logFailure({ error, message: event, effect: undefined })
          cancelExchange(exchangeId)
          endFailedSend(exchangeId, error)
        }
      })
      cancels.set(exchangeId, cancel)
      backlog.begin(exchangeId, isPaused => cancel.setPaused(ReadPause.Unhandled, isPaused))
      callers.deliver(request.requestId, sink => sink.onExchange?.(isPaused => {
        cancel.setPaused(ReadPause.Caller, isPaused)
        if (!isPaused) task.post({ kind: ForwardMessageKind.ReadingResumed, exchangeId })
      }))
    },
    [ForwardEffectKind.CheckWorker]: ({ worker, scope }) => {
      workerCheckers[scope](worker, check => task.post({ kind: ForwardMessageKind.WorkerChecked, worker, scope, check }))
    },
    [ForwardEffectKind.CancelExchange]: ({ exchangeId }) => cancelExchange(exchangeId),
    [ForwardEffectKind.SendHead]: ({ requestId, status, headers, framing }) => callers.deliver(requestId, sink => sink.onHead(status, headers, framing)),
    [ForwardEffectKind.SendBody]: ({ requestId, bytes }) => callers.deliver(requestId, sink => sink.onBody(bytes)),
    [ForwardEffectKind.Complete]: ({ requestId }) => callers.finish(requestId, sink => sink.onComplete()),
    [ForwardEffectKind.AbortConnection]: ({ requestId }) => callers.finish(requestId, sink => sink.onAbort()),
    [ForwardEffectKind.Refuse]: ({ requestId, code, retryAfterMs }) => callers.finish(requestId, sink => sink.onRefuse(code, retryAfterMs)),
    [ForwardEffectKind.ReportFailure]: ({ error }) => { throw error }
  }

  const logFailure = logTaskFailure(log, 'requests')

  /** Ends an exchange after an exception; only an error of the encoder proves that nothing was sent. */
  const endFailedSend = (exchangeId: number, error: unknown) => {
    const reason = error instanceof Error ? error.message : String(error)
    postOfExchange(exchangeId, error instanceof UnsendableRequestError
      ? { kind: ForwardMessageKind.RequestUnsendable, exchangeId, reason }
      : { kind: ForwardMessageKind.ExchangeFailed, exchangeId, hasLeft: true, reason })
  }

  /** Tells the core how an effect that threw has ended, where the core waits for its result. */
  const endFailedEffect = (effect: ForwardEffect, error: unknown) => {
    if (effect.kind === ForwardEffectKind.SendToWorker) endFailedSend(effect.exchangeId, error)
    if (effect.kind === ForwardEffectKind.CheckWorker) task.post({ kind: ForwardMessageKind.WorkerChecked, worker: effect.worker, scope: effect.scope, check: UpstreamCheck.Unknown })
  }

  const onFailure = (failure: TaskFailure<ForwardMessage, ForwardEffect>) => {
    logFailure(failure)
    if (failure.effect !== undefined) endFailedEffect(failure.effect, failure.error)
    task.post({ kind: ForwardMessageKind.HandlingFailed })
    callers.failOrphans(core.isLive)
  }

  const task = createTask<ForwardMessage, ForwardEffect>({
    name: 'requests',
    core: {
      handle: message => {
        if (message.kind === ForwardMessageKind.Submitted) callers.take(message.request.requestId)
        if (message.kind === ForwardMessageKind.ResponseBytes) backlog.recordHandled(message.exchangeId)
        return core.handle(message)
      }
    },
    perform: effect => dispatch(performers, effect),
    onFailure,
    capacity: MAILBOX_CAPACITY,
    bulkCapacity: responsePartsMax,
    laneOf: ({ kind }) => LANES[kind]
  })
  task.tickEvery(FORWARD_TICK_MS, () => ({ kind: ForwardMessageKind.Tick }))

  return {
    submit: (request, sink) => {
      const { requestId } = request
      callers.add(requestId, sink)
      if (task.post({ kind: ForwardMessageKind.Submitted, request })) return
      callers.finish(requestId, refused => refused.onRefuse(ResultCode.Overloaded, undefined))
    },
    cancel: requestId => {
      callers.remove(requestId)
      task.post({ kind: ForwardMessageKind.CallerGone, requestId })
    },
    retryWaitingRequests: () => { if (core.waitingCount > 0) task.post({ kind: ForwardMessageKind.CapacityFreed }) },
    endRequests: () => { task.post({ kind: ForwardMessageKind.ProcessExits }) },
    discardIdle: () => { for (const pool of pools.values()) pool.discardIdle() },
    closeUnused: () => {
      const used = new Set(workers.all().filter(({ zone }) => !isEvacuated(zone)).map(({ address }) => address))
      for (const [address, pool] of pools) {
        if (used.has(address)) continue
        pool.closeIdle()
        closedPoolConnections += pool.openedCount
        pools.delete(address)
      }
    },
    core,
    get openedConnections () {
      return [...pools.values()].reduce((sum, { openedCount }) => sum + openedCount, closedPoolConnections)
    },
    get rejectedMessages () { return task.overflowCount },
    stop: () => {
      task.stop()
      for (const pool of pools.values()) pool.close()
    }
  }
}
