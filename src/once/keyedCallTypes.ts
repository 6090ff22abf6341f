import type { Incarnation, Outcome, ResultCode } from '../core/index.js'
import type { AgentRef, AgentReply, BindReply, BindRequest, DispatchFrame, VoidIfUnseenFrame } from './types.js'

/** Messages that a keyed call handles. */
export enum CallMessageKind {
  Started = 'started',
  /** Reply to `ChooseAgent`; `agent` is absent if no agent is available. */
  AgentChosen = 'agent-chosen',
  BindReplied = 'bind-replied',
  /** The shard has another owner. */
  OwnerChanged = 'owner-changed',
  AgentReplied = 'agent-replied',
  /** The link to an agent was lost, or a frame could not be sent over it. */
  LinkLost = 'link-lost',
  /** The agent's incarnation has certainly ended, for example because another one replies at its address. */
  AgentGone = 'agent-gone',
  CallerGone = 'caller-gone',
  Tick = 'tick'
}

export type CallMessage =
  | { kind: CallMessageKind.Started }
  | { kind: CallMessageKind.AgentChosen, agent?: AgentRef }
  | { kind: CallMessageKind.BindReplied, reply: BindReply }
  | { kind: CallMessageKind.OwnerChanged }
  | { kind: CallMessageKind.AgentReplied, incarnation: Incarnation, reply: AgentReply }
  | { kind: CallMessageKind.LinkLost, incarnation: Incarnation }
  | { kind: CallMessageKind.AgentGone, incarnation: Incarnation }
  | { kind: CallMessageKind.CallerGone }
  | { kind: CallMessageKind.Tick }

/** Effects of a keyed call. */
export enum CallEffectKind {
  /** Asks the router for an agent other than those that voided a binding of this call. */
  ChooseAgent = 'choose-agent',
  /** Sends the bind request to the currently known owner of its shard. */
  AskOwner = 'ask-owner',
  Dispatch = 'dispatch',
  /** Sends the frame over a newly opened link, because the current one may be dead. */
  SendVoid = 'send-void',
  /** Informs the agent that this call no longer waits; the run continues. */
  Detach = 'detach',
  /** Sends the next bytes of the response to the caller. */
  Forward = 'forward',
  /** Ends the call. If bytes were forwarded and the code is not Ok, the caller's connection must be aborted. */
  Finish = 'finish'
}

export type CallEffect =
  | { kind: CallEffectKind.ChooseAgent, excluded: AgentRef[] }
  | { kind: CallEffectKind.AskOwner, request: BindRequest }
  | { kind: CallEffectKind.Dispatch, agent: AgentRef, frame: DispatchFrame }
  | { kind: CallEffectKind.SendVoid, agent: AgentRef, frame: VoidIfUnseenFrame }
  | { kind: CallEffectKind.Detach, agent: AgentRef, scopedKey: string, requestId: string }
  | { kind: CallEffectKind.Forward, bytes: Uint8Array }
  | { kind: CallEffectKind.Finish, outcome: Outcome, code: ResultCode, httpStatus: number }

/** Safety rules; tests disable them to verify that the checks detect the violation. */
export interface CallRules {
  /** Requests a rebind only after the agent confirmed the void; if disabled, as soon as the agent fails to reply. */
  rebindsAfterVoidOnly: boolean
  /** Reports not run only with a new void as proof. */
  provesNotRun: boolean
  /** Checks order, count and hash of the response. */
  checksResponse: boolean
}

export const CALL_RULES: CallRules = { rebindsAfterVoidOnly: true, provesNotRun: true, checksResponse: true }
