import type { ResultCode } from '../core/index.js'
import type { WorkerNotice } from '../workerLimits/index.js'

/** A request from the agent to its upstream. */
export interface UpstreamCall {
  method: string
  path: string
  contentType?: string
  headers: Record<string, string>
  body: Uint8Array
  isEventStream: boolean
  timeoutMs: number
}

/** Receives the parts of a response in order; `onEnd` is called exactly once. */
export interface UpstreamListener {
  /** Called before `onHead` with what the upstream says about itself. */
  onNotice? (notice: WorkerNotice): void
  onHead (status: number, contentType: string): void
  onBytes (bytes: Uint8Array): void
  /** Resolves when more bytes may be read; undefined if that is now. */
  whenReady? (): Promise<void> | undefined
  /** `hasStarted` is false only if the upstream provably received nothing. */
  onEnd (code: ResultCode, hasStarted: boolean): void
}

/** Receives a response, and decides whether one that states no end is complete. */
export interface UpstreamCallListener extends UpstreamListener {
  /**
   * Called when a response without framing has ended with its connection, as that of a crashed upstream ends, too.
   * Resolves with whether the run of the upstream that gave the response still lives.
   */
  confirmEnd (): Promise<boolean>
}

/** Load that an upstream reports. */
export interface UpstreamLoad {
  sequence: number
  madeAtMs: number
  queuedTokens: number
  runningRequests: number
  waitingRequests?: number | undefined
  /** Maximum number of concurrent requests; undefined or 0 if unlimited. */
  runningMax?: number | undefined
  /** Measured throughput per second: prompt tokens of an engine, requests of a service. */
  tokensPerS: number
  cacheEventSequence?: number | undefined
  cacheBlocksMax?: number | undefined
}

/** One change to the prefix cache of an engine. Sequence numbers may have gaps. */
export interface CacheEvent {
  sequence: number
  isStored: boolean
  blocks: string[]
}

export interface UpstreamClient {
  /** Starts a call; the returned function cancels it. */
  run (call: UpstreamCall, listener: UpstreamCallListener): () => void
  /** Rejects if there is no response, or one that is no load. */
  load (): Promise<UpstreamLoad>
  cacheEvents (afterSequence: number): Promise<CacheEvent[]>
  close (): Promise<void>
}
