import { createHmac } from 'node:crypto'
import { encode } from 'cbor-x'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { FrameError } from '../core/index.js'
import { type FleetKey, NodeRole } from '../links/index.js'
import { BroadcastTopic, DATAGRAM_BYTES_MAX, DatagramKind, MemberStatus, RumorKind } from './constants.js'
import { createDatagramCodec } from './datagramCodec.js'
import { measureRumor } from './rumorSize.js'
import type { Datagram, Rumor } from './types.js'

const oldKey: FleetKey = { keyId: '2026-11', secret: 'old' }
const newKey: FleetKey = { keyId: '2026-12', secret: 'new' }

const text = fc.string({ minLength: 1, maxLength: 40, unit: 'grapheme' })
const count = fc.nat(2 ** 31)
const status = fc.constantFrom(...Object.values(MemberStatus))
const rumor: fc.Arbitrary<Rumor> = fc.oneof(
  fc.record({
    kind: fc.constant(RumorKind.Record as const),
    record: fc.record({
      identity: fc.record({
        nodeId: text, incarnation: text, role: fc.constantFrom(...Object.values(NodeRole)), address: text, failureDomain: text, pool: text
      }),
      version: count,
      status,
      isDraining: fc.boolean(),
      freeCapacityRequests: count,
      loadVersion: count,
      announcerId: text
    })
  }),
  fc.record({
    kind: fc.constant(RumorKind.Status as const), nodeId: text, incarnationHash: count, version: count, status, isDraining: fc.boolean(), announcerId: text
  }),
  fc.record({ kind: fc.constant(RumorKind.Load as const), nodeId: text, incarnationHash: count, loadVersion: count, freeCapacityRequests: count }),
  fc.record({
    kind: fc.constant(RumorKind.Broadcast as const),
    topic: fc.constantFrom(...Object.values(BroadcastTopic)),
    id: text,
    payload: fc.uint8Array({ maxLength: 200 }),
    remainingMs: count
  })
)
const gossip = (rumors: Rumor[]): Datagram => ({ kind: DatagramKind.Gossip, fromId: 'entry-1', rumors })
const ping: Datagram = { kind: DatagramKind.Ping, fromId: 'entry-1', rumors: [], sequence: 7 }

describe('datagram codec', () => {
  // Guards against datagrams above the size limit: the core fills them by the estimated size alone.
  it('decodes every rumor to its original and never needs more bytes than estimated', () => {
    const codec = createDatagramCodec([newKey])
    const emptyBytes = codec.encode(gossip([])).length
    fc.assert(fc.property(rumor, item => {
      const bytes = codec.encode(gossip([item]))
      expect(codec.decode(bytes)).toEqual(gossip([item]))
      expect(bytes.length - emptyBytes).toBeLessThanOrEqual(measureRumor(item))
    }), { seed: 1 })
  })

  it.each<[string, FleetKey[], FleetKey[], boolean]>([
    ['the same key', [newKey], [newKey], true],
    ['an old key during a rotation', [oldKey], [newKey, oldKey], true],
    ['a retired key', [oldKey], [newKey], false],
    ['a wrong secret under a known id', [{ ...newKey, secret: 'guess' }], [newKey], false]
  ])('authenticates with %s', (_case, senderKeys, receiverKeys, isAccepted) => {
    const receive = () => createDatagramCodec(receiverKeys).decode(createDatagramCodec(senderKeys).encode(ping))
    if (isAccepted) expect(receive()).toEqual(ping)
    else expect(receive).toThrow(FrameError)
  })

  // Guards against a member with another version whose incompatible datagrams crash all others.
  it('reports every authenticated body with an invalid structure as a frame error', () => {
    const codec = createDatagramCodec([newKey])
    const keyId = Buffer.from(newKey.keyId)
    const header = Buffer.concat([Buffer.from([1, keyId.length]), keyId])
    const sign = (body: Uint8Array) =>
      Buffer.concat([header, createHmac('sha256', newKey.secret).update(header).update(body).digest().subarray(0, 16), body])
    const anyBody = fc.oneof(
      fc.uint8Array({ minLength: 1, maxLength: 200 }),
      fc.jsonValue().map(value => encode(value)),
      fc.tuple(fc.nat(8), text, fc.array(fc.array(fc.oneof(fc.nat(4), text, fc.constant(null)), { maxLength: 12 }), { maxLength: 4 }), fc.nat(9))
        .map(value => encode(value))
    )
    fc.assert(fc.property(anyBody, body => {
      try {
        expect(codec.decode(sign(body)).fromId.length).toBeGreaterThan(0)
      } catch (error) {
        expect(error).toBeInstanceOf(FrameError)
      }
    }), { seed: 1, numRuns: 2_000 })
  })

  it('refuses a datagram with any bit changed, truncated or oversize', () => {
    const codec = createDatagramCodec([newKey])
    const bytes = codec.encode(ping)
    for (let i = 0; i < bytes.length; i++) {
      const damaged = Buffer.from(bytes)
      damaged[i]! ^= 1
      expect(() => codec.decode(damaged)).toThrow(FrameError)
      expect(() => codec.decode(bytes.subarray(0, i))).toThrow(FrameError)
    }
    expect(() => codec.decode(Buffer.concat([bytes, Buffer.alloc(DATAGRAM_BYTES_MAX)]))).toThrow(FrameError)
  })
})
