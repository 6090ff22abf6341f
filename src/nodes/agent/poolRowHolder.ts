import { z } from 'zod'
import { type PoolRow, poolSchema } from '../../configuration/index.js'
import { type Frame, FrameKind, parseFrame } from '../../links/index.js'

const rowsFrameSchema = z.object({
  kind: z.literal(FrameKind.Rows),
  offset: z.number().int().nonnegative(),
  row: poolSchema
})

/** The latest configuration row of an agent's pool, as received from the entries. */
export interface PoolRowHolder {
  /** Handles a Rows frame; ignored unless its offset is higher than the current one. */
  onRows (frame: Frame): void
  readonly row: PoolRow | undefined
  readonly offset: number
}

/**
 * Keeps the latest row of the agent's pool. Entries may lag behind one another, so rows are ordered
 * by the offset of their edit and not by arrival.
 *
 * @example
 * const holder = createPoolRowHolder(row => keyedRuns.setWindow(row.onceWindowMs))
 */
export const createPoolRowHolder = (onChange: (row: PoolRow) => void): PoolRowHolder => {
  let row: PoolRow | undefined
  let offset = 0
  return {
    onRows: frame => {
      const rows = parseFrame(rowsFrameSchema, frame)
      if (rows.offset <= offset) return
      offset = rows.offset
      row = rows.row
      onChange(row)
    },
    get row () { return row },
    get offset () { return offset }
  }
}
