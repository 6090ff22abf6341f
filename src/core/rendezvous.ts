import { hash32 } from './hash.js'

/**
 * Orders nodes for a key by rendezvous hashing, the owner first. When a node is removed, only the
 * keys that it owned get another owner.
 *
 * @example
 * const [ownerId] = rankByRendezvous('shard-7', ['a', 'b', 'c'])
 */
export const rankByRendezvous = (key: string, nodeIds: readonly string[]): string[] =>
  nodeIds
    .map(nodeId => ({ nodeId, weight: hash32(`${key}/${nodeId}`) }))
    .sort((a, b) => b.weight - a.weight || (a.nodeId < b.nodeId ? -1 : 1))
    .map(({ nodeId }) => nodeId)

/** Returns the owner of a key, or undefined if there are no nodes. */
export const ownerByRendezvous = (key: string, nodeIds: readonly string[]): string | undefined => {
  let ownerId: string | undefined
  let ownerWeight = -1
  for (const nodeId of nodeIds) {
    const weight = hash32(`${key}/${nodeId}`)
    if (weight > ownerWeight || (weight === ownerWeight && ownerId !== undefined && nodeId < ownerId)) {
      ownerId = nodeId
      ownerWeight = weight
    }
  }
  return ownerId
}
