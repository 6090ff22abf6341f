import { OrderKind } from './constants.js'
import type { EngineAssignment, EngineOrder, EngineState } from './types.js'

/**
 * Returns the next order that brings an engine closer to its assignment, or undefined if the engine
 * runs it. The model is loaded first, because loading it removes the adapters and the role may depend
 * on it.
 *
 * @example
 * nextOrder({ adapters: [] }, desired) // { kind: OrderKind.LoadModel, model: 'quote-7b' }
 */
export const nextOrder = (state: EngineState, desired: EngineAssignment): EngineOrder | undefined => {
  const { role, model, version, adapters } = desired
  if (state.model !== model || state.version !== version) {
    return { kind: OrderKind.LoadModel, model, ...(version !== undefined && { version }) }
  }
  if (state.role !== role) return { kind: OrderKind.ChangeRole, role }
  const extra = state.adapters.find(adapter => !adapters.includes(adapter))
  if (extra !== undefined) return { kind: OrderKind.UnloadAdapter, adapter: extra }
  const missing = adapters.find(adapter => !state.adapters.includes(adapter))
  return missing === undefined ? undefined : { kind: OrderKind.LoadAdapter, adapter: missing }
}

const appliers: { [Kind in OrderKind]: (state: EngineState, order: Extract<EngineOrder, { kind: Kind }>) => EngineState } = {
  [OrderKind.LoadModel]: ({ role }, { model, version }) =>
    ({ ...(role && { role }), model, ...(version !== undefined && { version }), adapters: [] }),
  [OrderKind.ChangeRole]: (state, { role }) => ({ ...state, role }),
  [OrderKind.UnloadAdapter]: (state, { adapter }) =>
    ({ ...state, adapters: state.adapters.filter(name => name !== adapter) }),
  [OrderKind.LoadAdapter]: (state, { adapter }) => ({ ...state, adapters: [...state.adapters, adapter] })
}

/** Returns the state of an engine after it has executed an order. */
export const applyOrder = (state: EngineState, order: EngineOrder): EngineState => {
  const apply = appliers[order.kind] as (state: EngineState, order: EngineOrder) => EngineState
  return apply(state, order)
}

/** Whether an engine is empty: it runs no model or adapter and has no role. */
export const isEmptyEngine = ({ role, model, adapters }: EngineState): boolean =>
  role === undefined && model === undefined && adapters.length === 0
