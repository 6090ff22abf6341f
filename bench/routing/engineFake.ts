import type { EventQueue } from '../harness/index.js'

/** A request with the cache blocks of its prompt; engines and entries use the same block fingerprints. */
export interface BenchRequest {
  requestId: string
  customer: string
  blocks: readonly string[]
  promptTokens: number
  outputTokens: number
  arrivedMs: number
  deadlineMs: number
}

/** Callbacks for the progress of one request on an engine. */
export interface RunListener {
  firstToken (): void
  /** Called for each token after the first one. */
  token? (): void
  finished (): void
  expired (): void
}

interface Run {
  request: BenchRequest
  listener: RunListener
  cachedTokens: number
  prefillLeft: number
  outputLeft: number
  lastTokenMs: number
  /**
   * Prompt tokens that were not cached at arrival and are not processed yet; reports count these as the
   * backlog.
   */
  uncachedTokensLeft: number
}

export interface EngineSettings {
  /** Relative speed: 1 for a normal engine, a third for the straggler. */
  speed: number
  batchMax: number
  cacheBlocksMax: number
}

export const BLOCK_TOKENS = 64
const STEP_BASE_MS = 6
const DECODE_REQUEST_MS = 0.5
const PREFILL_TOKEN_MS = 0.08
const CHUNK_TOKENS = 256
const TOKEN_RATE_SMOOTHING = 0.1

export interface CacheChange { stored: boolean, block: string }

/**
 * Creates a fake engine with continuous batching: every step decodes one token of each running request and
 * processes one chunk of prompt tokens. Its prefix cache evicts the least recently used block.
 */
export const createEngineFake = (queue: EventQueue, { speed, batchMax, cacheBlocksMax }: EngineSettings) => {
  const { clock } = queue
  const cache = new Set<string>()
  const waiting: Run[] = []
  let running: Run[] = []
  let changes: CacheChange[] = []
  let isStepping = false
  let tokensPerS = 1_000 / PREFILL_TOKEN_MS / 2
  let acceptedTokens = 0
  let finishedCount = 0
  let reportedFinished = 0
  let finishedPerS = 0
  let lastReportMs = 0
  let backlogTokens = 0
  let eventSequence = 0
  const stats = { busyMs: 0, workMs: 0, cachedTokens: 0, promptTokens: 0, gapsMs: [] as number[], stepListeners: [] as Array<() => void> }

  const cachedPrefixTokens = (blocks: readonly string[]) => {
    let count = 0
    while (count < blocks.length && cache.has(blocks[count]!)) count += 1
    return count * BLOCK_TOKENS
  }

  const storeBlocks = (blocks: readonly string[]) => {
    for (let i = blocks.length - 1; i >= 0; i--) {
      const block = blocks[i]!
      if (!cache.delete(block)) changes.push({ stored: true, block })
      cache.add(block)
    }
    for (const block of cache) {
      if (cache.size <= cacheBlocksMax) break
      cache.delete(block)
      changes.push({ stored: false, block })
    }
  }

  const dropExpired = () => {
    const nowMs = clock.nowMs()
    const isExpired = ({ request }: Run) => request.deadlineMs <= nowMs
    const drop = (run: Run) => {
      backlogTokens -= run.uncachedTokensLeft
      run.listener.expired()
    }
    while (waiting.length > 0 && isExpired(waiting[0]!)) drop(waiting.shift()!)
    if (!running.some(isExpired)) return
    running.filter(isExpired).forEach(run => { drop(run) })
    running = running.filter(run => !isExpired(run))
  }

  const admit = () => {
    while (running.length < batchMax && waiting.length > 0) {
      const run = waiting.shift()!
      run.cachedTokens = Math.min(cachedPrefixTokens(run.request.blocks), run.request.promptTokens - 1)
      run.prefillLeft = run.request.promptTokens - run.cachedTokens
      stats.cachedTokens += run.cachedTokens
      stats.promptTokens += run.request.promptTokens
      running.push(run)
    }
  }

  const finishStep = (prefills: Array<{ run: Run, tokens: number }>, decodes: Run[], durationMs: number) => {
    const nowMs = clock.nowMs()
    const prefilled = prefills.reduce((sum, { tokens }) => sum + tokens, 0)
    if (prefilled >= CHUNK_TOKENS) tokensPerS += TOKEN_RATE_SMOOTHING * (prefilled / durationMs * 1_000 - tokensPerS)
    for (const run of decodes) {
      stats.gapsMs.push(nowMs - run.lastTokenMs)
      run.lastTokenMs = nowMs
      run.outputLeft -= 1
      run.listener.token?.()
    }
    for (const { run, tokens } of prefills) {
      run.prefillLeft -= tokens
      backlogTokens -= Math.min(tokens, run.uncachedTokensLeft)
      run.uncachedTokensLeft = Math.max(0, run.uncachedTokensLeft - tokens)
      if (run.prefillLeft > 0) continue
      backlogTokens -= run.uncachedTokensLeft
      run.uncachedTokensLeft = 0
      storeBlocks(run.request.blocks)
      run.lastTokenMs = nowMs
      run.outputLeft -= 1
      run.listener.firstToken()
    }
    const done = running.filter(run => run.prefillLeft <= 0 && run.outputLeft <= 0)
    running = running.filter(run => run.prefillLeft > 0 || run.outputLeft > 0)
    finishedCount += done.length
    done.forEach(run => { run.listener.finished() })
    isStepping = false
    step()
    stats.stepListeners.forEach(listener => { listener() })
  }

  const step = () => {
    if (isStepping) return
    dropExpired()
    admit()
    if (running.length === 0) return
    isStepping = true
    let budget = CHUNK_TOKENS
    const prefills: Array<{ run: Run, tokens: number }> = []
    const decodes: Run[] = []
    for (const run of running) {
      if (run.prefillLeft <= 0) decodes.push(run)
      else if (budget > 0) {
        const tokens = Math.min(budget, run.prefillLeft)
        prefills.push({ run, tokens })
        budget -= tokens
      }
    }
    const workMs = STEP_BASE_MS + DECODE_REQUEST_MS * decodes.length + PREFILL_TOKEN_MS * (CHUNK_TOKENS - budget)
    stats.busyMs += workMs / speed
    stats.workMs += workMs
    queue.after(workMs / speed, () => { finishStep(prefills, decodes, workMs / speed) })
  }

  const submit = (request: BenchRequest, listener: RunListener) => {
    const uncachedTokensLeft = Math.max(1, request.promptTokens - cachedPrefixTokens(request.blocks))
    backlogTokens += uncachedTokensLeft
    acceptedTokens += uncachedTokensLeft
    waiting.push({
      request,
      listener,
      cachedTokens: 0,
      prefillLeft: request.promptTokens,
      outputLeft: request.outputTokens,
      lastTokenMs: 0,
      uncachedTokensLeft
    })
    step()
  }

  const makeReport = (sequence: number) => {
    const seconds = (clock.nowMs() - lastReportMs) / 1_000
    if (seconds > 0) finishedPerS += 0.3 * ((finishedCount - reportedFinished) / seconds - finishedPerS)
    lastReportMs = clock.nowMs()
    reportedFinished = finishedCount
    return {
      sequence,
      madeAtMs: clock.nowMs(),
      queuedTokens: backlogTokens,
      runningRequests: running.length,
      waitingRequests: waiting.length,
      runningMax: batchMax,
      tokensPerS,
      acceptedTokens,
      finishedPerS,
      prefixCache: { eventSequence, blocksMax: cacheBlocksMax }
    }
  }

  /** Predicts the time to first token of a request that arrives now, from the exact state of the engine. */
  const predictExactly = (request: BenchRequest) => {
    const decodes = running.filter(run => run.prefillLeft <= 0)
    const stepMs = (STEP_BASE_MS + DECODE_REQUEST_MS * decodes.length + PREFILL_TOKEN_MS * CHUNK_TOKENS) / speed
    const uncached = request.promptTokens - Math.min(cachedPrefixTokens(request.blocks), request.promptTokens - 1)
    const prefillMs = Math.ceil((backlogTokens + uncached) / CHUNK_TOKENS) * stepMs
    const missingSlots = running.length + waiting.length + 1 - batchMax
    if (missingSlots <= 0) return { totalMs: prefillMs, backlogTokens }
    const remainingOutputs = running.map(run => run.outputLeft).sort((a, b) => a - b)
    return { totalMs: Math.max(prefillMs, (remainingOutputs[Math.min(remainingOutputs.length, missingSlots) - 1] ?? 0) * stepMs), backlogTokens }
  }

  return {
    submit,
    makeReport,
    predictExactly,
    takeCacheChanges: () => {
      const taken = changes
      changes = []
      eventSequence += 1
      return { sequence: eventSequence, changes: taken }
    },
    listCache: () => ({ sequence: eventSequence, blocks: [...cache] }),
    stats
  }
}

export type EngineFake = ReturnType<typeof createEngineFake>
