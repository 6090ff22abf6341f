import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { FrameError } from '../core/index.js'
import { SHARE_UNITS } from './constants.js'
import { applyChanges, copiesBetween, createInitialMap, createMap, encodeChanges, hostedItems } from './expertMap.js'
import type { GroupShape, Replica } from './types.js'

const shape: GroupShape = { ranks: 5, experts: 6, layers: 3, expertBytes: 1 }
const initial = createInitialMap(shape)

const replicas: fc.Arbitrary<Replica[]> = fc.record({
  first: fc.integer({ min: 0, max: 3 }), second: fc.integer({ min: 1, max: 4 }), units: fc.integer({ min: 1, max: SHARE_UNITS })
}).map(({ first, second, units }) => units === SHARE_UNITS || first >= second
  ? [{ rank: first, share: 1 }]
  : [{ rank: first, share: units / SHARE_UNITS }, { rank: second, share: (SHARE_UNITS - units) / SHARE_UNITS }])
const anyMap = fc.array(fc.array(replicas, { minLength: 6, maxLength: 6 }), { minLength: 3, maxLength: 3 })
  .map(layers => createMap(7, layers))

describe('expert map', () => {
  it('is restored from its encoding as changes to another map', () => {
    fc.assert(fc.property(anyMap, anyMap, (base, map) => {
      expect(applyChanges(base, encodeChanges(base, map), map.id)).toEqual(map)
    }), { seed: 1 })
  })

  it.each<[string, (bytes: Uint8Array) => Uint8Array]>([
    ['truncated', bytes => bytes.subarray(0, bytes.length - 1)],
    ['altered', bytes => bytes.map((byte, index) => index === 4 ? byte ^ 1 : byte)],
    ['of an item that does not exist', bytes => bytes.map((byte, index) => index === 2 ? 9 : byte)]
  ])('refuses changes that are %s', (_case, damage) => {
    // Guards against a rank using a map other than the one that it acknowledged.
    const map = createMap(1, initial.layers.map(layer => layer.map(() => [{ rank: 3, share: 1 }])))
    expect(() => applyChanges(initial, damage(encodeChanges(initial, map)), map.id)).toThrow(FrameError)
  })

  it('needs a copy for every added host, and only for those', () => {
    fc.assert(fc.property(anyMap, anyMap, (base, map) => {
      const expected = Array.from({ length: shape.ranks }, (_rank, toRank) => {
        const before = new Set(hostedItems(base, toRank))
        return hostedItems(map, toRank).filter(item => !before.has(item)).map(item => ({ item, toRank }))
      }).flat()
      expect(new Set(copiesBetween(base, map).map(copy => JSON.stringify(copy))))
        .toEqual(new Set(expected.map(copy => JSON.stringify(copy))))
    }), { seed: 2 })
  })
})
