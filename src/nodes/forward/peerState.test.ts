import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { KeyedRecord } from '../../configuration/index.js'
import { createRandom, createMonotonicClock } from '../../core/index.js'
import { createPeerStateClient, startPeerStateServer } from './peerState.js'

const TIMEOUT_MS = 1_000
const RECORDS: KeyedRecord[] = [{ key: 'w-1', value: Buffer.from([0, 255, 7]), offset: 4 }, { key: 'w-2', value: Buffer.from('{}'), offset: 9 }]

const freeAddress = async (): Promise<string> => {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return `127.0.0.1:${port}`
}

describe('state of a topic fetched from a peer', () => {
  let address: string
  let known: KeyedRecord[] | undefined
  let close: () => void

  beforeEach(async () => {
    address = await freeAddress()
    known = RECORDS
    close = startPeerStateServer({ address, stateOf: topic => topic === 'workers' ? known : undefined, onFault: reason => { throw new Error(reason) } })
  })
  afterEach(() => close())

  const createClient = (addresses: string[]) =>
    createPeerStateClient({ clock: createMonotonicClock(), random: createRandom(1), addresses: () => addresses })

  it('arrives unchanged, including binary values', async () => {
    expect(await createClient([address]).fetch('workers', TIMEOUT_MS)).toEqual(RECORDS)
  })

  // Guards against a process that reads the empty state of a peer without data as a fleet without workers.
  it('is refused by a peer that does not know it', async () => {
    known = undefined
    await expect(createClient([address]).fetch('workers', TIMEOUT_MS)).rejects.toThrow('status 503')
    await expect(createClient([address]).fetch('unknown-topic', TIMEOUT_MS)).rejects.toThrow('status 503')
  })

  it('is undefined while no peer is known', async () => {
    expect(await createClient([]).fetch('workers', TIMEOUT_MS)).toBeUndefined()
  })
})
