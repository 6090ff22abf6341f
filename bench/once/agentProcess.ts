import { type Clock, dispatch, type HandlerTable, type Random } from '../../src/core/index.js'
import {
  AgentReplyKind, KeyState, type RunsEffect, RunsEffectKind, type RunsMessage, RunsMessageKind
} from '../../src/once/index.js'
import { startUpstreamRun } from './upstream.js'
import { type CoreFactories, type RunRecord, type Wire, WireKind, type WorldOptions } from './worldTypes.js'

export interface AgentProcessOptions {
  incarnation: string
  clock: Clock
  world: WorldOptions
  random: Random
  createRuns: CoreFactories['createRuns']
  /** Runs `act` in this incarnation of the process, or never. */
  whenLive: (act: () => void) => void
  send: (to: string, wire: Wire) => void
  onRunStarted: (run: RunRecord) => void
  /** The agent voided a binding on behalf of a call. */
  onVoided: (requestId: string) => void
}

/** One incarnation of an agent with its upstream. */
export interface AgentProcess {
  readonly incarnation: string
  receive (wire: Wire, from: string): void
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
  /** Key and call of the frame that is being handled; a run that starts now is caused by it. */
  let cause = { scopedKey: '', requestId: '' }

  const performers: HandlerTable<RunsEffect, void> = {
    [RunsEffectKind.StartRun]: ({ runId, body }) => startUpstreamRun({
      queue: world.queue,
      random,
      faults: world.upstream,
      run: { scopedKey: cause.scopedKey, requestId: cause.requestId, agent: incarnation, body: Buffer.from(body).toString(), startedMs: world.queue.clock.nowMs() },
      onStarted: options.onRunStarted,
      post: message => options.whenLive(() => {
        world.onStep?.()
        handle({ ...message, runId })
      })
    }),
    [RunsEffectKind.Reply]: ({ to, reply }) => {
      if (reply.kind === AgentReplyKind.State && reply.state === KeyState.Voided) options.onVoided(reply.requestId)
      send(to, { kind: WireKind.AgentReply, incarnation, reply })
    }
  }

  const handle = (message: RunsMessage) => {
    for (const effect of runs.handle(message)) dispatch(performers, effect)
  }

  return {
    incarnation,
    handle,
    receive: (wire, from) => {
      if (wire.kind === WireKind.Detach) handle({ ...wire, kind: RunsMessageKind.Detached, from })
      if (wire.kind === WireKind.Dispatch) {
        cause = wire.frame
        handle({ kind: RunsMessageKind.Dispatched, from, frame: wire.frame })
      }
      if (wire.kind === WireKind.Void) handle({ kind: RunsMessageKind.VoidRequested, from, frame: wire.frame })
    }
  }
}
