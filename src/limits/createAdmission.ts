import { type Clock, type Core, dispatch, type HandlerTable, type Random, ResultCode } from '../core/index.js'
import {
  ADMISSION_RANGE, AdmissionEffectKind, AdmissionMessageKind, LIMIT_KEYS_MAX, OVER_SHARE_FACTOR, OVER_SHARE_RATIO,
  RETRY_AFTER_MS, START_WAIT_LIMIT_MS, USE_HALF_LIFE_MS
} from './constants.js'
import type { AdmissionEffect, AdmissionMessage } from './types.js'

type MessageOf<Kind extends AdmissionMessageKind> = Extract<AdmissionMessage, { kind: Kind }>

/** Weight of the newest sample in the moving average of the stream duration. */
const STREAM_SMOOTHING = 0.05

/**
 * Creates the admission control of an entry. It refuses requests that would miss their deadline before
 * they are dispatched. As the wait for the first token grows, requests of low priority and of customers
 * above their share are refused first.
 *
 * @example
 * const admission = createAdmission({ clock, random })
 * admission.handle({ kind: AdmissionMessageKind.AdmitRequested, requestId, customer, priority, tokens, deadlineMs, predictedFirstTokenMs, predictedWaitMs })
 */
export const createAdmission = ({ clock, random }: { clock: Clock, random: Random }): Core<AdmissionMessage, AdmissionEffect> => {
  /** Admitted work by customer, with exponential decay. */
  const usesByCustomer = new Map<string, { work: number, atMs: number }>()
  let meanStreamMs = 0

  const decayed = ({ work, atMs }: { work: number, atMs: number }) => work * 0.5 ** ((clock.nowMs() - atMs) / USE_HALF_LIFE_MS)

  const recordUse = (customer: string, tokens: number) => {
    const use = usesByCustomer.get(customer)
    usesByCustomer.delete(customer)
    if (usesByCustomer.size >= LIMIT_KEYS_MAX) usesByCustomer.delete(usesByCustomer.keys().next().value!)
    usesByCustomer.set(customer, { work: (use === undefined ? 0 : decayed(use)) + tokens, atMs: clock.nowMs() })
  }

  const isOverShare = (customer: string): boolean => {
    const own = usesByCustomer.get(customer)
    if (own === undefined || usesByCustomer.size < 2) return false
    let total = 0
    for (const use of usesByCustomer.values()) total += decayed(use)
    return decayed(own) > OVER_SHARE_RATIO * total / usesByCustomer.size
  }

  const onAdmit = (message: MessageOf<AdmissionMessageKind.AdmitRequested>): AdmissionEffect[] => {
    const { requestId, customer, priority, tokens, deadlineMs, predictedFirstTokenMs, predictedWaitMs } = message
    const remainingMs = deadlineMs - clock.nowMs() - meanStreamMs
    const refuse = (code: ResultCode, reason: string): AdmissionEffect[] =>
      [{ kind: AdmissionEffectKind.Refused, requestId, code, retryAfterMs: RETRY_AFTER_MS, reason }]
    if (predictedFirstTokenMs >= remainingMs) {
      return refuse(ResultCode.DeadlineUnreachable, `first token in ${Math.round(predictedFirstTokenMs)} ms, ${Math.round(remainingMs)} ms left`)
    }
    const { from, to } = ADMISSION_RANGE[priority]
    const waitRatio = predictedWaitMs / Math.min(START_WAIT_LIMIT_MS, remainingMs)
    // The customer's share is computed only under load, as this iterates over all customers.
    const factor = waitRatio > from * OVER_SHARE_FACTOR && isOverShare(customer) ? OVER_SHARE_FACTOR : 1
    const refusalProbability = (waitRatio - from * factor) / ((to - from) * factor)
    if (refusalProbability > 0 && random.next() < refusalProbability) {
      return refuse(ResultCode.Overloaded, `wait of ${Math.round(predictedWaitMs)} ms, priority ${priority}`)
    }
    recordUse(customer, tokens)
    return [{ kind: AdmissionEffectKind.Admitted, requestId }]
  }

  const onEnded = ({ streamMs: sampleMs }: MessageOf<AdmissionMessageKind.Ended>): AdmissionEffect[] => {
    if (sampleMs !== undefined) meanStreamMs += STREAM_SMOOTHING * (sampleMs - meanStreamMs)
    return []
  }

  const handlers: HandlerTable<AdmissionMessage, AdmissionEffect[]> = {
    [AdmissionMessageKind.AdmitRequested]: onAdmit,
    [AdmissionMessageKind.Ended]: onEnded
  }

  return { handle: message => dispatch(handlers, message) }
}
