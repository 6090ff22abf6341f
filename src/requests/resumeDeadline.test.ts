import { expect, it } from 'vitest'
import { RepeatPolicy } from '../configuration/index.js'
import { RESUME_WAIT_MS } from './constants.js'
import { resumeDeadlineMs } from './resumeDeadline.js'

const DEADLINE_MS = 3_000

it.each([
  { repeat: RepeatPolicy.Idempotent, isCommitted: false, expectedMs: DEADLINE_MS / 2 },
  { repeat: RepeatPolicy.Idempotent, isCommitted: true, expectedMs: RESUME_WAIT_MS },
  { repeat: RepeatPolicy.AtMostOnce, isCommitted: false, expectedMs: RESUME_WAIT_MS }
])('reserves time for a retry only if one is allowed: $repeat, committed $isCommitted', ({ repeat, isCommitted, expectedMs }) => {
  expect(resumeDeadlineMs({ repeat, deadlineAtMs: DEADLINE_MS }, isCommitted, 0)).toBe(expectedMs)
})
