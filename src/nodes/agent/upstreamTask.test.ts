import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { UpstreamCall, UpstreamClient, UpstreamLoad } from '../../clients/index.js'
import { createManualClock, ResultCode } from '../../core/index.js'
import { createUpstreamTask, LOAD_INTERVAL_MS, type UpstreamTask } from './upstreamTask.js'

type CallListener = Parameters<UpstreamClient['run']>[1]

/** An upstream whose loads are counted when they are requested, and answered when the test says so. */
const createUpstreamFake = () => {
  const held: (() => void)[] = []
  const listeners: CallListener[] = []
  const failures: string[] = []
  let sequence = 0
  const client: UpstreamClient = {
    run: (_call, listener) => {
      listeners.push(listener)
      return () => {}
    },
    load: () => new Promise<UpstreamLoad>((resolve, reject) => {
      const code = failures.shift()
      if (code !== undefined) {
        held.push(() => reject(Object.assign(new Error(code), { code })))
        return
      }
      const load = { sequence: ++sequence, madeAtMs: 0, queuedTokens: 0, runningRequests: 0, tokensPerS: 1 }
      held.push(() => resolve(load))
    }),
    cacheEvents: async () => [],
    close: async () => {}
  }
  return {
    client,
    listeners,
    get heldCount () { return held.length },
    /** The next requests for the load fail with these codes. */
    failLoads: (...codes: string[]) => { failures.push(...codes) },
    restart: () => { sequence = 0 },
    answerLast: async () => {
      held.pop()?.()
      await vi.advanceTimersByTimeAsync(0)
    }
  }
}

const CALL: UpstreamCall = { method: 'GET', path: '/stock', headers: {}, body: new Uint8Array(), isEventStream: false, timeoutMs: 1_000 }

describe('what an agent takes the load sequence of its upstream for', () => {
  let upstream: ReturnType<typeof createUpstreamFake>
  let task: UpstreamTask
  let events: string[]

  const start = (name: string) => {
    task.start(name, CALL, 0, {
      onHead: () => {}, onBytes: () => {}, onEnd: code => { events.push(`${name} ended with ${ResultCode[code]}`) }
    })
    return upstream.listeners.at(-1)!
  }
  const poll = () => vi.advanceTimersByTimeAsync(LOAD_INTERVAL_MS)
  const answerAll = async () => {
    while (upstream.heldCount > 0) await upstream.answerLast()
  }

  beforeEach(async () => {
    vi.useFakeTimers()
    events = []
    upstream = createUpstreamFake()
    task = createUpstreamTask({
      client: upstream.client, clock: createManualClock(), broadcast: () => {}, onDied: () => events.push('died'), onStarted: () => {}
    })
    await poll()
    await answerAll()
  })
  afterEach(async () => {
    await task.stop()
    vi.useRealTimers()
  })

  // Guards against an upstream that counts as crashed, with the requests that it runs as suspects, because two answers
  // overtook each other.
  it('is no restart if a poll is answered after the check of a lost connection', async () => {
    const listener = start('one')
    await poll()
    listener.onEnd(ResultCode.UpstreamDied, true)
    await answerAll()
    await poll()
    await answerAll()
    expect(events).toEqual(['one ended with UpstreamDied'])
  })

  // Guards against a crash that is not attributed to a request, because the upstream still lived when another one was checked.
  it('is read again for each connection that is lost after the reading began', async () => {
    const [first, second] = [start('one'), start('two')]
    first.onEnd(ResultCode.UpstreamDied, true)
    upstream.restart()
    second.onEnd(ResultCode.UpstreamDied, true)
    await answerAll()
    expect(events).toEqual(['one ended with UpstreamDied', 'died', 'two ended with UpstreamDied'])
  })

  // Guards against an upstream that counts as crashed, with the requests that it runs as suspects, because it closed an idle
  // connection while a poll was sent on it.
  it.each(['UND_ERR_SOCKET', 'ECONNRESET'])('is no crash if only the connection of one poll is lost: %s', async code => {
    start('one')
    upstream.failLoads(code)
    await poll()
    await answerAll()
    expect(events).toEqual([])
    expect(task.isUp).toBe(true)
  })

  it.each([['ECONNREFUSED'], ['UND_ERR_SOCKET', 'UND_ERR_SOCKET'], ['ECONNRESET', 'ECONNREFUSED']])('is a crash if nothing listens, or a new connection is lost as well: %s', async (...codes) => {
    upstream.failLoads(...codes)
    await poll()
    await answerAll()
    expect(events).toEqual(['died'])
  })

  it('is a crash if the answer after a lost connection comes from a new run', async () => {
    upstream.failLoads('ECONNRESET')
    upstream.restart()
    await poll()
    await answerAll()
    expect(events).toEqual(['died'])
  })
})
