import { type Clock, dispatch, type HandlerTable, type Random } from '../../src/core/index.js'
import {
  AgentReplyKind, KeyState, type RunsEffect, RunsEffectKind, type RunsMessage, RunsMessageKind
} from '../../src/once/index.js'
import { startUpstreamRun } from './upstream.js'
import { type CoreFactories, type RunRecord, type ProcessMessage, ProcessMessageKind, type WorldOptions } from './worldTypes.js'

export interface AgentProcessOptions {
  incarnation: string
  clock: Clock
  world: WorldOptions
  random: Random
  createRuns: CoreFactories['createRuns']
  /** Runs `task` unless this incarnation of the process has ended by then. */
  runIfCurrent: (task: () => void) => void
  send: (to: string, processMessage: ProcessMessage) => void
  onRunStarted: (run: RunRecord) => void
  /** Called when the agent has voided a binding for a call. */
  onVoided: (requestId: string) => void
}

/** One incarnation of a simulated agent with its upstream. */
export interface AgentProcess {
  readonly incarnation: string
  receive (processMessage: ProcessMessage, from: string): void
  handle (message: RunsMessage): void
}

export const createAgentProcess = (options: AgentProcessOptions): AgentProcess => {
  const { incarnation, clock, world, random, send } = options
  const runs = options.createRuns({
    clock,
    incarnation,
    windowMs: world.windowMs,
    keysMax: world.agentKeysMax,
    answerBytesMax: world.answerBytesMax,
    rules: world.rules?.runs
  })
  /** Key and call of the last dispatch frame; a run that starts while it is handled is attributed to it. */
  let currentDispatch = { scopedKey: '', requestId: '' }

  const performers: HandlerTable<RunsEffect, void> = {
    [RunsEffectKind.StartRun]: ({ runId, body }) => startUpstreamRun({
      queue: world.queue,
      random,
      faults: world.upstream,
      run: { scopedKey: currentDispatch.scopedKey, requestId: currentDispatch.requestId, agent: incarnation, body: Buffer.from(body).toString(), startedMs: world.queue.clock.nowMs() },
      onStarted: options.onRunStarted,
      post: message => options.runIfCurrent(() => {
        world.onStep?.()
        handle({ ...message, runId })
      })
    }),
    [RunsEffectKind.Reply]: ({ to, reply }) => {
      if (reply.kind === AgentReplyKind.State && reply.state === KeyState.Voided) options.onVoided(reply.requestId)
      send(to, { kind: ProcessMessageKind.AgentReply, incarnation, reply })
    }
  }

  const handle = (message: RunsMessage) => {
    for (const effect of runs.handle(message)) dispatch(performers, effect)
  }

  return {
    incarnation,
    handle,
    receive: (processMessage, from) => {
      if (processMessage.kind === ProcessMessageKind.Detach) handle({ ...processMessage, kind: RunsMessageKind.Detached, from })
      if (processMessage.kind === ProcessMessageKind.Dispatch) {
        currentDispatch = processMessage.frame
        handle({ kind: RunsMessageKind.Dispatched, from, frame: processMessage.frame })
      }
      if (processMessage.kind === ProcessMessageKind.Void) handle({ kind: RunsMessageKind.VoidRequested, from, frame: processMessage.frame })
    }
  }
}
