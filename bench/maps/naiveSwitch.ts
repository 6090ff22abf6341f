import {
  CoordinatorEffectKind, CoordinatorMessageKind, createInitialMap, encodeChanges, applyChanges, type ExpertMap,
  RankEffectKind, RankMessageKind, ReleaseChoice, SwitchKind, SwitchOutcome, HOLD_MARGIN_STEPS
} from '../../src/expertMaps/index.js'
import type { CoreOptions, ProcessCores } from './switchSimulation.js'

/**
 * Creates the cores of the baseline: a switch without a protocol. The coordinator sends the map and a step
 * number once, and each rank changes maps at that step if it has received both by then. A rank starts with
 * the map of version 0.
 */
export const createNaiveCores = ({ shape, incarnation }: CoreOptions): ProcessCores => {
  const initialMap = createInitialMap(shape)
  let current: ExpertMap = initialMap
  let staged: ExpertMap | undefined
  let switchStep: number | undefined
  /** Next step of the rank on the same host; the naive coordinator reads it from there. */
  let nextStep = 1

  return {
    rank: {
      handle: message => {
        if (message.kind === RankMessageKind.StepRequested) {
          if (staged !== undefined && switchStep !== undefined && message.step >= switchStep) {
            current = staged
            switchStep = undefined
          }
          nextStep = message.step + 1
          return [{ kind: RankEffectKind.MapActivated, map: current }, { kind: RankEffectKind.StepAllowed, step: message.step, map: current }]
        }
        if (message.kind !== RankMessageKind.SwitchReceived) return []
        const received = message.message
        if (received.kind === SwitchKind.Stage && received.changes !== undefined) {
          staged = applyChanges(initialMap, received.changes.bytes, received.mapId)
        }
        if (received.kind === SwitchKind.Release && received.mapId.version > current.id.version) switchStep = received.step
        return []
      }
    },
    coordinator: {
      handle: message => {
        if (message.kind !== CoordinatorMessageKind.SwitchRequested) return []
        const { map } = message
        const messageFields = { ballot: [1, incarnation] as const, incarnation, mapId: map.id }
        const changes = { base: initialMap.id, bytes: encodeChanges(initialMap, map) }
        const step = nextStep + HOLD_MARGIN_STEPS
        const effects = Array.from({ length: shape.ranks }, (_rank, to) => [
          { kind: SwitchKind.Stage as const, ...messageFields, changes, hasPeers: true },
          { kind: SwitchKind.Release as const, ...messageFields, choice: ReleaseChoice.Adopt, step }
        ].map(sent => ({ kind: CoordinatorEffectKind.SendToRank as const, to, message: sent }))).flat()
        return [...effects, { kind: CoordinatorEffectKind.SwitchEnded, outcome: SwitchOutcome.Done, map }]
      }
    }
  }
}
