import { performance } from 'node:perf_hooks'
import { Agent, request } from 'undici'
import { v7 as createKey } from 'uuid'
import type { Random } from '../../src/core/index.js'
import { CUSTOMER, MODEL } from './deployment.js'

const CONNECTIONS_MAX = 2_048
const EVENT_END = '\n\n'
const STREAM_END = 'data: [DONE]'
const ERROR_CODE = /"error":\{"code":(\d+)/

/** Times of one event stream as the caller observed it. */
export interface StreamSample {
  firstTokenMs: number
  gapsMs: number[]
  /** Whether all tokens and the last event arrived. */
  isComplete: boolean
  /** Result code of a refused or failed response; empty otherwise. */
  failure: string
}

const dispatcher = new Agent({ connections: CONNECTIONS_MAX, pipelining: 1 })

/** Closes the connections that all rounds share. */
export const closeLoad = () => dispatcher.destroy()

const countEvents = (text: string) => text.split(EVENT_END).length - 1

/** Sends one streaming request and records the arrival time of each token. */
export const sendStream = async (url: string, tokens: number): Promise<StreamSample> => {
  const startedMs = performance.now()
  const arrivedMs: number[] = []
  let tail = ''
  let failure = ''
  const response = await request(`${url}/v1/completions`, {
    method: 'POST',
    dispatcher,
    headers: { 'content-type': 'application/json', 'x-customer': CUSTOMER },
    body: JSON.stringify({ model: MODEL, prompt: 'ridge of 12 m, pitch 20 degrees', max_tokens: tokens, stream: true })
  })
  for await (const bytes of response.body) {
    const nowMs = performance.now()
    const text = String(bytes)
    for (let i = countEvents(text); i > 0 && arrivedMs.length < tokens; i--) arrivedMs.push(nowMs)
    tail = (tail + text).slice(-STREAM_END.length * 2)
    failure = ERROR_CODE.exec(text)?.[1] ?? failure
  }
  return {
    firstTokenMs: (arrivedMs[0] ?? Number.POSITIVE_INFINITY) - startedMs,
    gapsMs: arrivedMs.slice(1).map((ms, i) => ms - arrivedMs[i]!),
    isComplete: response.statusCode === 200 && arrivedMs.length === tokens && tail.trimEnd().endsWith(STREAM_END),
    failure
  }
}

/**
 * Sends one order with a new idempotency key and returns the duration in ms.
 *
 * @throws Error if the response has a status other than 201
 */
export const sendOrder = async (url: string): Promise<number> => {
  const startedMs = performance.now()
  const key = createKey()
  const response = await request(`${url}/orders`, {
    method: 'POST',
    dispatcher,
    headers: { 'content-type': 'application/json', 'x-customer': CUSTOMER, 'idempotency-key': key },
    body: JSON.stringify({ orderId: key })
  })
  const text = await response.body.text()
  if (response.statusCode !== 201) throw new Error(`order returned status ${response.statusCode} instead of 201: ${text}`)
  return performance.now() - startedMs
}

/**
 * Runs an open loop: starts calls at the times of a Poisson process, whether or not earlier calls have ended.
 *
 * @example
 * const samples = await runOpenLoop(random, { perS: 100, durationMs: 1_500 }, () => sendStream(url, 20))
 */
export const runOpenLoop = async <Sample>(
  random: Random, { perS, durationMs }: { perS: number, durationMs: number }, send: () => Promise<Sample>
): Promise<Sample[]> => {
  const running: Promise<Sample>[] = []
  const startedMs = performance.now()
  for (let dueMs = 0; dueMs < durationMs; dueMs += -Math.log(1 - random.next()) / perS * 1_000) {
    const waitMs = startedMs + dueMs - performance.now()
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs))
    running.push(send())
  }
  return Promise.all(running)
}

/**
 * Runs a closed loop: keeps a fixed number of calls in flight until the duration is over, then waits for the
 * last ones.
 */
export const runClosedLoop = async <Sample>(
  { concurrent, durationMs }: { concurrent: number, durationMs: number }, send: () => Promise<Sample>
): Promise<Sample[]> => {
  const samples: Sample[] = []
  const endMs = performance.now() + durationMs
  const runCaller = async () => {
    while (performance.now() < endMs) samples.push(await send())
  }
  await Promise.all(Array.from({ length: concurrent }, runCaller))
  return samples
}
