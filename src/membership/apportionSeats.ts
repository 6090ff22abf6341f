/**
 * Apportions seats among groups in proportion to their sizes by systematic sampling: averaged over
 * evenly spaced phases, each group gets its exact share. Every group gets a seat if there are enough
 * seats, and no group gets more seats than members.
 *
 * @param phase in [0, 1); callers with different phases round differently
 * @example
 * apportionSeats([4, 4, 2], 5, 0.3) // [2, 2, 1]
 */
export const apportionSeats = (sizes: readonly number[], seats: number, phase: number): number[] => {
  const total = sizes.reduce((sum, size) => sum + size, 0)
  if (total <= seats) return [...sizes]
  const usedGroups = sizes.filter(size => size > 0).length
  // Groups whose share is below one seat get one; the others share the rest.
  const raised = new Set<number>()
  const shareOf = (size: number, i: number): number => {
    if (raised.has(i)) return 1
    const restSize = sizes.reduce((sum, other, j) => raised.has(j) ? sum : sum + other, 0)
    return size * (seats - raised.size) / Math.max(1, restSize)
  }
  const findTooSmall = () => seats < usedGroups
    ? -1
    : sizes.findIndex((size, i) => size > 0 && !raised.has(i) && shareOf(size, i) < 1)
  for (let i = findTooSmall(); i >= 0; i = findTooSmall()) raised.add(i)
  const shares = sizes.map(shareOf)

  let sum = 0
  return shares.map(share => {
    const from = Math.floor(sum + phase + 1e-9)
    sum += share
    return Math.floor(sum + phase + 1e-9) - from
  })
}
