import { type Clock, createLog, createTask, dispatch, type HandlerTable, Lane, ResultCode, type Task } from '../../core/index.js'
import { type Frame, FrameKind, parseFrame, type PeerIdentity } from '../../links/index.js'
import { createCallerTable, createRequestCore, endFrameSchema, parseChunkFrame, refusedFrameSchema, REQUEST_TICK_MS, type RequestEffect, RequestEffectKind, type RequestMessage, RequestMessageKind, type RequestPorts, type ResponseFrame, type SubmittedRequest } from '../../requests/index.js'
import type { ResponseSink } from './types.js'

const log = createLog('requests')

const TASK_CAPACITY = 65_536

export interface RequestsTaskOptions {
  clock: Clock
  ports: RequestPorts
  sendToAgent: (address: string, frame: Frame) => void
}

/** The requests of one entry that have no idempotency key. */
export interface RequestsTask {
  submit (request: SubmittedRequest, sink: ResponseSink): void
  cancel (requestId: string): void
  /** Handlers for the frames that agents send about unkeyed requests. */
  readonly frameHandlers: Partial<Record<FrameKind, (peer: PeerIdentity, frame: Frame) => void>>
  onAgentLinked (peer: PeerIdentity): void
  onAgentUnlinked (peer: PeerIdentity): void
  readonly liveCount: number
  readonly droppedFrameCount: number
  stop (): void
}

/** A chunk that is lost is asked for again; all other messages, also the end of a response, must not be lost behind chunks. */
const laneOf = (message: RequestMessage): Lane =>
  message.kind === RequestMessageKind.FrameReceived && message.frame.kind === FrameKind.Chunk ? Lane.Bulk : Lane.Control

/**
 * Creates the task that runs the request core and owns the response sinks.
 *
 * @example
 * const requests = createRequestsTask({ clock, ports, sendToAgent: pool.send })
 * requests.submit(request, sink)
 */
export const createRequestsTask = ({ clock, ports, sendToAgent }: RequestsTaskOptions): RequestsTask => {
  const core = createRequestCore({ clock, ports })
  const callers = createCallerTable<ResponseSink>({
    fail: sink => sink.onFail(ResultCode.AnswerLost),
    onUndelivered: (requestId, error) => {
      log('response to request %s cannot be delivered: %s', requestId, error instanceof Error ? error.message : error)
      task.post({ kind: RequestMessageKind.CallerGone, requestId })
    }
  })

  const performers: HandlerTable<RequestEffect, void> = {
    [RequestEffectKind.SendToAgent]: ({ agent, frame }) => sendToAgent(agent.address, frame),
    [RequestEffectKind.SendHead]: ({ requestId, head }) => callers.deliver(requestId, sink => sink.onHead(head)),
    [RequestEffectKind.SendBody]: ({ requestId, bytes }) => callers.deliver(requestId, sink => sink.onBody(bytes)),
    [RequestEffectKind.Complete]: ({ requestId }) => callers.finish(requestId, sink => sink.onComplete()),
    [RequestEffectKind.Fail]: ({ requestId, code }) => callers.finish(requestId, sink => sink.onFail(code))
  }

  const task: Task<RequestMessage> = createTask({
    name: 'requests',
    core: {
      handle: message => {
        if (message.kind === RequestMessageKind.Submitted) callers.take(message.request.requestId)
        return core.handle(message)
      }
    },
    perform: effect => dispatch(performers, effect),
    onFailure: () => callers.failOrphans(core.isLive),
    capacity: TASK_CAPACITY,
    laneOf
  })
  task.tickEvery(REQUEST_TICK_MS, () => ({ kind: RequestMessageKind.Tick }))

  const postResponse = ({ nodeId }: PeerIdentity, frame: ResponseFrame) =>
    task.post({ kind: RequestMessageKind.FrameReceived, agentId: nodeId, frame })

  return {
    submit: (request, sink) => {
      callers.add(request.requestId, sink)
      if (task.post({ kind: RequestMessageKind.Submitted, request })) return
      callers.finish(request.requestId, refused => refused.onFail(ResultCode.Overloaded))
    },
    cancel: requestId => {
      if (callers.remove(requestId)) task.post({ kind: RequestMessageKind.CallerGone, requestId })
    },
    frameHandlers: {
      [FrameKind.Chunk]: (peer, frame) => postResponse(peer, parseChunkFrame(frame)),
      [FrameKind.End]: (peer, frame) => postResponse(peer, parseFrame(endFrameSchema, frame)),
      [FrameKind.Refused]: (peer, frame) => postResponse(peer, parseFrame(refusedFrameSchema, frame))
    },
    onAgentLinked: ({ nodeId, incarnation }) => {
      task.post({ kind: RequestMessageKind.AgentLinked, agentId: nodeId, incarnation })
    },
    onAgentUnlinked: ({ nodeId }) => { task.post({ kind: RequestMessageKind.AgentUnlinked, agentId: nodeId }) },
    get liveCount () { return core.liveCount },
    get droppedFrameCount () { return core.droppedFrameCount },
    stop: () => task.stop()
  }
}
