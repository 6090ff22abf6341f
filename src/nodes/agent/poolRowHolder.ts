import { z } from 'zod'
import { type PoolRow, poolSchema } from '../../configuration/index.js'
import { type Frame, FrameKind, parseFrame } from '../../links/index.js'

const rowsFrameSchema = z.object({
  kind: z.literal(FrameKind.Rows),
  offset: z.number().int().nonnegative(),
  row: poolSchema
})

/** The row of an agent's pool as the entries send it. */
export interface PoolRowHolder {
  /** Takes a Rows frame; one of a lower or equal offset is ignored. */
  offer (frame: Frame): void
  readonly row: PoolRow | undefined
  readonly offset: number
}

/**
 * Keeps the newest row of the agent's pool. Entries may lag behind one another, so only the offset
 * of the row's edit decides.
 *
 * @example
 * const holder = createPoolRowHolder(row => keyedRuns.setWindow(row.onceWindowMs))
 */
export const createPoolRowHolder = (onChange: (row: PoolRow) => void): PoolRowHolder => {
  let row: PoolRow | undefined
  let offset = 0
  return {
    offer: frame => {
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
