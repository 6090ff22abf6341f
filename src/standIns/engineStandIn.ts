import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import { fingerprint } from '../core/index.js'
import { applyOrder, type EngineOrder, type EngineState } from '../orders/index.js'
import type { CacheEvent } from '../clients/index.js'
import { listenOnLoopback, type StandInServer } from './listenOnLoopback.js'

export interface EngineStandInOptions {
  port?: number
  prefillTokensPerS?: number
  tokenIntervalMs?: number
  batchMax?: number
  /** Refuses orders whose fencing token is lower than the highest one received. */
  checksFence?: boolean
  /** A prompt that contains this text crashes the engine. */
  crashText?: string
  restartMs?: number
  cacheBlocksMax?: number
  /** Registers further routes, such as those of a rank, before the server listens. */
  attach?: (app: FastifyInstance) => void
}

interface Generation {
  reply: FastifyReply
  prompt: string
  remainingTokens: number
  startMs: number
  sentTokens: number
}

export interface EngineStandIn extends StandInServer {
  readonly startedRuns: number
  readonly crashCount: number
  /** Runs in progress or queued; a run is cancelled when its connection closes. */
  readonly runningCount: number
  /** Header `traceparent` of the last completion request. */
  readonly lastTraceparent: string | undefined
  faults: {
    /** Ends the response normally after this many tokens, without the final `[DONE]` event. */
    truncatesAfterTokens: number | undefined
    /** The connections of this many further runs are closed without a response. */
    runsToDrop: number
  }
  /** Accepted orders with their fencing tokens. */
  readonly orders: ReadonlyArray<{ fence: number, order: EngineOrder }>
  readonly state: EngineState
  /** Closes all connections, loses runs, cache and adapters, and closes new connections for `restartMs`. */
  crash (): void
}

interface CompletionBody {
  model?: string
  prompt?: string
  messages?: { role: string, content: string }[]
  max_tokens?: number
  stream?: boolean
}

const MAX_TOKENS_DEFAULT = 16
const CHARACTERS_PER_TOKEN = 4
const BODY_LIMIT_BYTES = 8 * 1024 * 1024
const CACHE_BLOCK_CHARACTERS = 256
const CACHE_EVENTS_MAX = 1_000

const promptOf = ({ prompt, messages }: CompletionBody) =>
  prompt ?? messages?.map(({ content }) => content).join('\n') ?? ''

/**
 * Starts a stand-in for a model engine: continuous batching with a bounded batch, a prefix cache, event streams,
 * cancellation when the connection closes, load reports, and orders with fencing tokens.
 *
 * @example
 * const engine = await startEngineStandIn({ tokenIntervalMs: 10, crashText: 'crash-me' })
 */
export const startEngineStandIn = async ({
  port = 0, prefillTokensPerS = 50_000, tokenIntervalMs = 10, batchMax = 32, checksFence = true,
  crashText, restartMs = 500, cacheBlocksMax = 512, attach
}: EngineStandInOptions = {}): Promise<EngineStandIn> => {
  const waiting: Generation[] = []
  const running = new Set<Generation>()
  const orders: { fence: number, order: EngineOrder }[] = []
  let state: EngineState = { adapters: [] }
  const cachedBlocks = new Set<string>()
  const cacheEvents: CacheEvent[] = []
  let highestFence = 0
  let startedRuns = 0
  let crashCount = 0
  let downUntilMs = 0
  let loadSequence = 0
  let eventSequence = 0
  let lastTraceparent: string | undefined
  const faults: EngineStandIn['faults'] = { truncatesAfterTokens: undefined, runsToDrop: 0 }
  const app = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true })

  const publishCacheEvent = (isStored: boolean, blocks: string[]) => {
    cacheEvents.push({ sequence: ++eventSequence, isStored, blocks })
    if (cacheEvents.length > CACHE_EVENTS_MAX) cacheEvents.shift()
  }

  const cachePrefix = (prompt: string): number => {
    let hitCharacters = 0
    const stored: string[] = []
    const evicted: string[] = []
    for (let end = CACHE_BLOCK_CHARACTERS; end <= prompt.length; end += CACHE_BLOCK_CHARACTERS) {
      const block = prompt.slice(0, end)
      if (cachedBlocks.has(block)) hitCharacters = end
      else stored.push(block)
      cachedBlocks.delete(block)
      cachedBlocks.add(block)
    }
    for (const block of cachedBlocks) {
      if (cachedBlocks.size <= cacheBlocksMax) break
      cachedBlocks.delete(block)
      evicted.push(block)
    }
    if (evicted.length > 0) publishCacheEvent(false, evicted.map(fingerprint))
    if (stored.length > 0) publishCacheEvent(true, stored.map(fingerprint))
    return hitCharacters
  }

  const crash = () => {
    crashCount += 1
    downUntilMs = Date.now() + restartMs
    waiting.length = 0
    running.clear()
    cachedBlocks.clear()
    cacheEvents.length = 0
    eventSequence = 0
    loadSequence = 0
    state = { adapters: [] }
    app.server.closeAllConnections()
  }

  const admit = () => {
    while (running.size < batchMax && waiting.length > 0) {
      const generation = waiting.shift()!
      const uncachedCharacters = generation.prompt.length - cachePrefix(generation.prompt)
      generation.startMs = Date.now() + uncachedCharacters / CHARACTERS_PER_TOKEN / prefillTokensPerS * 1_000
      running.add(generation)
    }
  }

  const step = () => {
    admit()
    const nowMs = Date.now()
    for (const generation of running) {
      if (generation.startMs > nowMs) continue
      const { reply } = generation
      const text = ` token${generation.sentTokens++}`
      reply.raw.write(`data: ${JSON.stringify({ choices: [{ index: 0, text }] })}\n\n`)
      generation.remainingTokens -= 1
      if (generation.sentTokens === faults.truncatesAfterTokens) {
        running.delete(generation)
        reply.raw.end()
        continue
      }
      if (generation.remainingTokens > 0) continue
      running.delete(generation)
      reply.raw.end('data: [DONE]\n\n')
    }
  }

  app.addHook('onRequest', async request => {
    if (Date.now() < downUntilMs) request.raw.socket.destroy()
  })

  const complete = async ({ body, headers }: FastifyRequest<{ Body: CompletionBody }>, reply: FastifyReply) => {
    const prompt = promptOf(body)
    startedRuns += 1
    lastTraceparent = headers.traceparent as string | undefined
    if (faults.runsToDrop > 0) {
      faults.runsToDrop -= 1
      reply.raw.destroy()
      return reply.hijack()
    }
    if (crashText !== undefined && prompt.includes(crashText)) {
      crash()
      return reply.hijack()
    }
    const generation: Generation = {
      reply, prompt, remainingTokens: body.max_tokens ?? MAX_TOKENS_DEFAULT, startMs: 0, sentTokens: 0
    }
    reply.hijack()
    reply.raw.writeHead(200, { 'content-type': 'text/event-stream' })
    reply.raw.on('close', () => {
      running.delete(generation)
      const index = waiting.indexOf(generation)
      if (index >= 0) waiting.splice(index, 1)
    })
    waiting.push(generation)
  }

  app.post<{ Body: CompletionBody }>('/v1/completions', complete)
  app.post<{ Body: CompletionBody }>('/v1/chat/completions', complete)

  app.get('/load', async () => ({
    sequence: ++loadSequence,
    madeAtMs: Date.now(),
    queuedTokens: Math.ceil(waiting.reduce((sum, { prompt }) => sum + prompt.length / CHARACTERS_PER_TOKEN, 0)),
    runningRequests: running.size,
    waitingRequests: waiting.length,
    runningMax: batchMax,
    tokensPerS: prefillTokensPerS,
    cacheEventSequence: eventSequence,
    cacheBlocksMax
  }))

  app.get<{ Querystring: { after?: string } }>('/cache-events', async request =>
    cacheEvents.filter(({ sequence }) => sequence > Number(request.query.after ?? 0)))

  app.post<{ Body: { fence: number, order: EngineOrder } }>('/orders', async ({ body }) => {
    if (checksFence && body.fence < highestFence) return { accepted: false }
    highestFence = Math.max(highestFence, body.fence)
    orders.push(body)
    state = applyOrder(state, body.order)
    return { accepted: true }
  })

  app.get('/state', async () => ({ state, isBusy: false }))

  attach?.(app)
  const timer = setInterval(step, tokenIntervalMs)
  const server = await listenOnLoopback(app, port)
  return {
    ...server,
    get startedRuns () { return startedRuns },
    get crashCount () { return crashCount },
    get runningCount () { return running.size + waiting.length },
    get lastTraceparent () { return lastTraceparent },
    faults,
    orders,
    get state () { return state },
    crash,
    close: async () => {
      clearInterval(timer)
      await server.close()
    }
  }
}
