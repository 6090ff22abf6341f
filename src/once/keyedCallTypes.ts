import type { Incarnation, Outcome, ResultCode } from '../core/index.js'
import type { AgentRef, AgentReply, BindReply, BindRequest, DispatchFrame, VoidIfUnseenFrame } from './types.js'

/** Messages that a keyed call handles. */
export enum CallMessageKind {
  Started = 'started',
  /** Answer to `ChooseAgent`; `agent` is absent if no agent is available. */
  AgentChosen = 'agent-chosen',
  BindReplied = 'bind-replied',
  /** The shard has another owner. */
  OwnerChanged = 'owner-changed',
  AgentReplied = 'agent-replied',
  /** The link to an agent broke or a frame could not be sent over it. */
  LinkLost = 'link-lost',
  /** The agent's incarnation has ended for certain, for example another one answers at its address. */
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
  /** Sends the request to the owner of its shard, as currently known. */
  AskOwner = 'ask-owner',
  Dispatch = 'dispatch',
  /** Sends the frame over a link that is opened for it, as the present one may be silent for good. */
  SendVoid = 'send-void',
  /** Tells the agent that this call no longer waits; the run goes on. */
  Detach = 'detach',
  /** Passes the next bytes of the answer to the caller. */
  Forward = 'forward',
  /** Ends the call; after `Forward` with a code other than Ok the caller's connection must be aborted. */
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

/** Rules that tests switch off to show that a check notices their absence. */
export interface CallRules {
  /** Asks for a rebind only after the agent confirmed the void; otherwise after mere silence. */
  rebindsAfterVoidOnly: boolean
  /** Ends as not run only with a fresh void as proof. */
  provesNotRun: boolean
  /** Checks order, count and hash of the answer. */
  checksAnswer: boolean
}

export const CALL_RULES: CallRules = { rebindsAfterVoidOnly: true, provesNotRun: true, checksAnswer: true }
