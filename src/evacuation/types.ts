import type { LogPosition } from '../core/index.js'

/** What a record says about one failure domain. */
export interface EvacuationRecord extends LogPosition {
  zone: string
  isEvacuated: boolean
}

/** The beginning or the end of one evacuation, with the position of the record that brought it about. */
export type EvacuationChange = EvacuationRecord
