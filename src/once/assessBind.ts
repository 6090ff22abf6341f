import { ResultCode, type TimestampMs } from '../core/index.js'
import { BindingKind } from './constants.js'
import type { BindingTable } from './createBindingTable.js'
import { isFutureKey } from './parseIdempotencyKey.js'
import type { BindingItem, BindReply, BindRequest } from './types.js'

/** Next step for a bind request, given the records read so far. */
export interface BindAssessment {
  reply?: BindReply
  /** Item to append to the log. */
  item?: BindingItem
  /** Offset up to which the log must be read first. */
  readToOffset?: number
}

/**
 * Assesses one bind request: a reply if the binding in effect is known, otherwise the item to append.
 *
 * A binding in the table is returned without another read. If the log already has a later rebind, the agent
 * of the older binding has confirmed its void and refuses the dispatch.
 */
export const assessBind = (
  { table, request, nowMs, refusesForgottenKeys }:
  { table: BindingTable, request: BindRequest, nowMs: TimestampMs, refusesForgottenKeys: boolean }
): BindAssessment => {
  const { requestId, scopedKey, keyTimeMs, fingerprint, candidate: agent, voidedOffset } = request
  const refuse = (code: ResultCode): BindAssessment => ({ reply: { requestId, code } })

  if (refusesForgottenKeys && (keyTimeMs < table.floorMs || isFutureKey(keyTimeMs, nowMs))) {
    return refuse(ResultCode.KeyOutsideWindow)
  }
  const binding = table.get(scopedKey)
  if (binding !== undefined && binding.fingerprint !== fingerprint) return refuse(ResultCode.KeyReusedWithOtherBody)
  if (binding !== undefined && (voidedOffset === undefined || voidedOffset < binding.offset)) {
    return { reply: { requestId, code: ResultCode.Ok, binding } }
  }
  const isBehind = voidedOffset !== undefined && (binding === undefined || voidedOffset > binding.offset)
  if (isBehind) return { readToOffset: voidedOffset }
  // The table may lag behind another owner's append, so a key without a binding may still have run.
  if (agent === undefined) return refuse(ResultCode.KeyUnbound)
  if (binding === undefined) return { item: { kind: BindingKind.Bind, scopedKey, keyTimeMs, agent, fingerprint } }
  return { item: { kind: BindingKind.Rebind, scopedKey, keyTimeMs, agent, supersededOffset: binding.offset } }
}
