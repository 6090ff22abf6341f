import type { OrderAnswer, RankOrder, RankStatus, SwitchPhase, SwitchResult } from './mapSwitchTypes.js'

/** State of a worker as read by the agent of its rank. */
export interface RankReading {
  group: string
  isOpen: boolean
  ranks: number
  /** Slowdown factor: time that the rank needs for its part of a pass, relative to a healthy rank. */
  pace: number
  view: RankStatus
  /** Experts that the rank hosts, by set. */
  experts: readonly (readonly number[])[]
  /** Number of choices by set and expert since the previous reading. */
  choices: readonly (readonly number[])[]
}

export enum MapCoordinatorMessageKind {
  ReadingReceived = 'reading-received',
  OrderAnswered = 'order-answered',
  /** Reports whether this process is the coordinator of the group. */
  RoleChanged = 'role-changed',
  Tick = 'tick'
}

export type MapCoordinatorMessage =
  | { kind: MapCoordinatorMessageKind.ReadingReceived, reading: RankReading }
  | { kind: MapCoordinatorMessageKind.OrderAnswered, switchId: number, orderId: number, answer: OrderAnswer }
  | { kind: MapCoordinatorMessageKind.RoleChanged, isCoordinator: boolean }
  | { kind: MapCoordinatorMessageKind.Tick }

export enum MapCoordinatorEffectKind {
  SendOrder = 'send-order',
  Planned = 'planned',
  PhaseChanged = 'phase-changed',
  SwitchEnded = 'switch-ended'
}

export type MapCoordinatorEffect =
  | { kind: MapCoordinatorEffectKind.SendOrder, switchId: number, orderId: number, rank: number, epoch: number, order: RankOrder }
  | { kind: MapCoordinatorEffectKind.Planned, version: number, copies: number, peakBefore: number, peakAfter: number }
  | { kind: MapCoordinatorEffectKind.PhaseChanged, phase: SwitchPhase, step: number | undefined, reason: string }
  | { kind: MapCoordinatorEffectKind.SwitchEnded, result: SwitchResult, tookMs: number }
