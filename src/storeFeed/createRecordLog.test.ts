import { expect, it } from 'vitest'
import { KEPT_RECORDS_MAX } from './constants.js'
import { createRecordLog } from './createRecordLog.js'

const at = (offset: number, era = 1) => ({ era, offset })
const record = (offset: number, key = `k${offset}`) => ({ key, value: Buffer.from('v'), era: 1, offset })

it('returns the records from an offset on, in order', () => {
  const log = createRecordLog()
  expect(log.recordsFrom(at(0))).toBeUndefined()
  log.replaceAll([record(3)], at(4))
  log.append([record(4), record(5)], at(6))
  expect(log.recordsFrom(at(5))).toEqual([record(5)])
  expect(log.recordsFrom(at(6))).toEqual([])
  expect(log.recordsFrom(at(3))).toBeUndefined()
  expect(log.recordsFrom(at(5, 2))).toBeUndefined()
})

// Guards against memory that grows with the life of the process, and against a gap in what is passed on.
it('drops the oldest records, and says so', () => {
  const log = createRecordLog()
  log.replaceAll([], at(0))
  for (let offset = 0; offset <= KEPT_RECORDS_MAX; offset++) log.append([record(offset, 'same')], at(offset + 1))
  expect(log.recordsFrom(at(0))).toBeUndefined()
  expect(log.recordsFrom(at(1))).toHaveLength(KEPT_RECORDS_MAX)
  expect(log.state()).toHaveLength(1)
})
