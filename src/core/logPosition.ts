/**
 * A place in a topic of the store. When the store comes back from an older copy, it begins a new era and gives offsets
 * out anew, so an offset alone does not order records.
 */
export interface LogPosition {
  era: number
  offset: number
}

/**
 * Orders two positions; negative if the first one is earlier.
 *
 * @example
 * comparePositions({ era: 1, offset: 90 }, { era: 2, offset: 4 }) < 0 // true
 */
export const comparePositions = (one: LogPosition, other: LogPosition): number => one.era - other.era || one.offset - other.offset

/**
 * Returns the later one of two positions.
 *
 * @example
 * laterPosition(undefined, { era: 2, offset: 4 })
 */
export const laterPosition = (one: LogPosition | undefined, other: LogPosition): LogPosition =>
  one !== undefined && comparePositions(one, other) >= 0 ? one : other

/**
 * Whether a value that another process has sent is a position.
 *
 * @example
 * isLogPosition({ era: 1, offset: 90 }) // true
 */
export const isLogPosition = (value: unknown): value is LogPosition => {
  const { era, offset } = (value ?? {}) as Partial<LogPosition>
  return Number.isInteger(era) && Number.isInteger(offset)
}
