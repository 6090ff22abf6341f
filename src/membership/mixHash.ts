/**
 * Combines two 32-bit hashes into one with the finalizer of MurmurHash3. Ranking many pairs this way
 * needs one text hash per node instead of one per pair.
 */
export const mixHash = (a: number, b: number): number => {
  let hash = (a ^ Math.imul(b, 0x9e3779b1)) >>> 0
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
