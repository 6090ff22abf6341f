import { expect, it } from 'vitest'
import { createManualClock, createRandom } from '../core/index.js'
import { createMapCoordinator } from './createMapCoordinator.js'
import { type MapCoordinatorEffect, MapCoordinatorEffectKind, MapCoordinatorMessageKind } from './mapCoordinatorTypes.js'
import { createRankGroupFake } from './rankGroupFake.js'

const RANKS = 4
const BASE_MAP = [Array.from({ length: RANKS }, (_, rank) => [rank, rank + RANKS])]

const planFirst = (seed: number): number => {
  const clock = createManualClock(0)
  const group = createRankGroupFake({ random: createRandom(1), ranks: RANKS, baseMap: BASE_MAP, passMs: 40, copyMs: 300 })
  const coordinator = createMapCoordinator({
    clock, random: createRandom(seed), ownRank: () => 0, limits: () => ({ placementsMax: 4, copiesMax: 2, copiesPerRankMax: 2 }), expertShare: () => 0.85
  })
  coordinator.handle({ kind: MapCoordinatorMessageKind.RoleChanged, isCoordinator: true })
  const effects: MapCoordinatorEffect[] = []
  for (let at = 0; at < 10; at++) {
    clock.advance(100)
    for (let rank = 0; rank < RANKS; rank++) {
      coordinator.handle({ kind: MapCoordinatorMessageKind.ReadingReceived, reading: group.read(rank, clock.nowMs()) })
    }
    effects.push(...coordinator.handle({ kind: MapCoordinatorMessageKind.Tick }))
  }
  const planned = effects.find(effect => effect.kind === MapCoordinatorEffectKind.Planned)
  if (planned === undefined) throw new Error('nothing was planned')
  return planned.version
}

// Guards against a late order of an ended run being mistaken for one of the next run: both runs see the same highest
// version and could allocate the same next one.
it('allocates different versions in different runs of the coordinator on one rank', () => {
  const versions = Array.from({ length: 6 }, (_, seed) => planFirst(seed + 1))
  expect(new Set(versions).size).toBeGreaterThan(1)
  for (const version of versions) expect(version % 4_096).toBe(0)
})
