import { type Clock, hash32 } from '../core/index.js'
import { BROADCAST_LIFETIME_MAX_MS, BROADCAST_MEMORY_MS, BROADCASTS_MAX, RumorKind } from './constants.js'
import type { Broadcast, Rumor } from './types.js'

/** Active broadcasts, and the ids of those that expired recently. */
export interface BroadcastStore {
  /** Returns false if the broadcast is known or expired, or the store is full. */
  add (broadcast: Broadcast): boolean
  /** Returns undefined once the broadcast has expired. */
  toRumor (key: string): Rumor | undefined
  activeKeys (): string[]
  expire (): void
  readonly digest: number
  readonly isFull: boolean
}

export const broadcastKey = ({ topic, id }: Pick<Broadcast, 'topic' | 'id'>): string => `${topic}/${id}`

/**
 * Creates an empty store.
 *
 * @example
 * if (store.add(broadcast)) deliver(broadcast)
 */
export const createBroadcastStore = (clock: Clock): BroadcastStore => {
  const stored = new Map<string, { broadcast: Broadcast, isActive: boolean }>()
  let digest = 0

  const toggle = (key: string) => { digest = (digest ^ hash32(key)) >>> 0 }

  const add = (broadcast: Broadcast) => {
    const key = broadcastKey(broadcast)
    const nowMs = clock.nowMs()
    if (stored.has(key) || broadcast.expiresMs <= nowMs || stored.size >= BROADCASTS_MAX) return false
    const expiresMs = Math.min(broadcast.expiresMs, nowMs + BROADCAST_LIFETIME_MAX_MS)
    stored.set(key, { broadcast: { ...broadcast, expiresMs }, isActive: true })
    toggle(key)
    return true
  }

  const toRumor = (key: string): Rumor | undefined => {
    const { broadcast, isActive } = stored.get(key) ?? {}
    const remainingMs = broadcast === undefined ? 0 : Math.ceil(broadcast.expiresMs - clock.nowMs())
    if (broadcast === undefined || !isActive || remainingMs <= 0) return undefined
    return { kind: RumorKind.Broadcast, topic: broadcast.topic, id: broadcast.id, payload: broadcast.payload, remainingMs }
  }

  const expire = () => {
    const nowMs = clock.nowMs()
    for (const [key, item] of stored) {
      if (item.isActive && item.broadcast.expiresMs <= nowMs) {
        item.isActive = false
        toggle(key)
      }
      if (item.broadcast.expiresMs + BROADCAST_MEMORY_MS <= nowMs) stored.delete(key)
    }
  }

  return {
    add,
    toRumor,
    activeKeys: () => [...stored].filter(([, { isActive }]) => isActive).map(([key]) => key),
    expire,
    get digest () { return digest },
    get isFull () { return stored.size >= BROADCASTS_MAX }
  }
}
