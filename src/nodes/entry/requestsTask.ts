import { type Clock, createTask, dispatch, type HandlerTable, ResultCode, type Task } from '../../core/index.js'
import { type Frame, FrameKind, parseFrame, type PeerIdentity } from '../../links/index.js'
import { createRequestCore, endFrameSchema, parseChunkFrame, refusedFrameSchema, REQUEST_TICK_MS, type RequestEffect, RequestEffectKind, type RequestMessage, RequestMessageKind, type RequestPorts, type ResponseFrame, type SubmittedRequest } from '../../requests/index.js'
import type { ResponseSink } from './types.js'

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

/**
 * Creates the task that runs the request core and owns the response sinks.
 *
 * @example
 * const requests = createRequestsTask({ clock, ports, sendToAgent: pool.send })
 * requests.submit(request, sink)
 */
export const createRequestsTask = ({ clock, ports, sendToAgent }: RequestsTaskOptions): RequestsTask => {
  const sinks = new Map<string, ResponseSink>()
  const core = createRequestCore({ clock, ports })

  const finish = (requestId: string, action: (sink: ResponseSink) => void) => {
    const sink = sinks.get(requestId)
    sinks.delete(requestId)
    if (sink !== undefined) action(sink)
  }

  const performers: HandlerTable<RequestEffect, void> = {
    [RequestEffectKind.SendToAgent]: ({ agent, frame }) => sendToAgent(agent.address, frame),
    [RequestEffectKind.SendHead]: ({ requestId, head }) => sinks.get(requestId)?.onHead(head),
    [RequestEffectKind.SendBody]: ({ requestId, bytes }) => sinks.get(requestId)?.onBody(bytes),
    [RequestEffectKind.Complete]: ({ requestId }) => finish(requestId, sink => sink.onComplete()),
    [RequestEffectKind.Fail]: ({ requestId, code }) => finish(requestId, sink => sink.onFail(code))
  }

  const task: Task<RequestMessage> = createTask({
    name: 'requests', core, perform: effect => dispatch(performers, effect), capacity: TASK_CAPACITY
  })
  task.tickEvery(REQUEST_TICK_MS, () => ({ kind: RequestMessageKind.Tick }))

  const postResponse = ({ nodeId }: PeerIdentity, frame: ResponseFrame) =>
    task.post({ kind: RequestMessageKind.FrameReceived, agentId: nodeId, frame })

  return {
    submit: (request, sink) => {
      sinks.set(request.requestId, sink)
      if (task.post({ kind: RequestMessageKind.Submitted, request })) return
      finish(request.requestId, refused => refused.onFail(ResultCode.Overloaded))
    },
    cancel: requestId => {
      if (sinks.delete(requestId)) task.post({ kind: RequestMessageKind.CallerGone, requestId })
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
