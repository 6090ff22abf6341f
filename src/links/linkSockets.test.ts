import { connect, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createRandom, createSystemClock } from '../core/index.js'
import { FRAME_BYTES_MAX, FrameKind, NodeRole } from './constants.js'
import { createFrameDecoder, encodeFrame } from './framing.js'
import { createLinkPool } from './linkPool.js'
import { listenForLinks } from './linkServer.js'
import { type LinkEvent, LinkEventKind } from './linkTask.js'
import type { FleetKey, PeerIdentity } from './types.js'

const SEED = 7
const clock = createSystemClock()
const keys: FleetKey[] = [{ keyId: 'k1', secret: 'a-secret-of-the-fleet' }]
const cleanups: (() => unknown)[] = []
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup()
})

const identityOf = (nodeId: string, role: NodeRole): PeerIdentity =>
  ({ nodeId, role, incarnation: `${nodeId}-1`, address: '127.0.0.1:1', failureDomain: 'tema-a' })

const listen = async () => {
  const events: LinkEvent[] = []
  const server = await listenForLinks({
    host: '127.0.0.1', port: 0, self: () => identityOf('agent-1', NodeRole.Agent), keys: () => keys, clock, emit: event => events.push(event)
  })
  cleanups.push(server.close)
  return { events, address: `127.0.0.1:${server.port}`, port: server.port }
}

const dial = (address: string, poolKeys = keys) => {
  const events: LinkEvent[] = []
  const pool = createLinkPool({
    self: () => identityOf('entry-1', NodeRole.Entry), keys: () => poolKeys, clock, emit: event => events.push(event)
  })
  cleanups.push(pool.close)
  pool.setWanted([address])
  return { events, pool }
}

const until = async (isDone: () => boolean) => {
  while (!isDone()) await new Promise(resolve => setTimeout(resolve, 5))
}

const writeRaw = async (port: number, bytes: Buffer): Promise<void> => {
  const socket: Socket = connect({ host: '127.0.0.1', port })
  socket.on('error', () => {})
  socket.resume()
  const closed = new Promise<void>(resolve => socket.on('close', () => resolve()))
  socket.on('connect', () => socket.end(bytes))
  await closed
}

describe('links over sockets', () => {
  it('delivers frames and redials a lost connection', async () => {
    const server = await listen()
    const { events, pool } = dial(server.address)
    await until(() => pool.isReady(server.address))
    pool.send(server.address, { kind: FrameKind.Report, sequence: 1 })
    await until(() => server.events.some(({ kind }) => kind === LinkEventKind.Frame))
    const accepted = server.events.find(event => event.kind === LinkEventKind.Ready)!
    accepted.link.close()
    await until(() => events.filter(({ kind }) => kind === LinkEventKind.Ready).length === 2)
  })

  it('refuses a peer without a fleet key', async () => {
    const server = await listen()
    const { events } = dial(server.address, [{ keyId: 'k1', secret: 'not-the-fleet-secret' }])
    await until(() => events.some(({ kind }) => kind === LinkEventKind.Lost))
    expect(server.events.some(({ kind }) => kind === LinkEventKind.Ready)).toBe(false)
  })

  it('accepts links after corrupt, truncated and oversized frames', async () => {
    const server = await listen()
    const random = createRandom(SEED)
    const valid = encodeFrame({ kind: FrameKind.Hello, identity: identityOf('x', NodeRole.Entry), nonce: 'n' })
    for (let i = 0; i < 60; i++) {
      const bytes = Buffer.from(valid)
      const corruptions = [
        () => bytes.subarray(0, random.int(0, bytes.length - 1)),
        () => { bytes[random.int(0, bytes.length - 1)] = random.int(0, 255); return bytes },
        () => Buffer.from(Array.from({ length: random.int(1, 200) }, () => random.int(0, 255))),
        () => { bytes.writeUInt32BE(FRAME_BYTES_MAX + 1, 0); return bytes }
      ]
      await writeRaw(server.port, random.pick(corruptions)())
    }
    expect(server.events.some(({ kind }) => kind === LinkEventKind.Ready)).toBe(false)
    const { pool } = dial(server.address)
    await until(() => pool.isReady(server.address))
  })

  it('decodes frames regardless of how they are split into chunks', () => {
    const random = createRandom(SEED)
    const messages = Array.from({ length: 50 }, (_, i) => ({ kind: FrameKind.Chunk, sequence: i, bytes: Buffer.alloc(random.int(0, 300), i) }))
    const stream = Buffer.concat(messages.map(encodeFrame))
    const decoder = createFrameDecoder()
    const decoded: unknown[] = []
    for (let offset = 0; offset < stream.length;) {
      const length = random.int(1, 90)
      decoded.push(...decoder.push(stream.subarray(offset, offset + length)))
      offset += length
    }
    expect(decoded).toEqual(messages)
  })
})
