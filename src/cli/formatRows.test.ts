import { expect, it } from 'vitest'
import { diffRows, parseRows } from '../configuration/index.js'
import { formatChange, formatTable } from './formatRows.js'

const route = (override: string) => parseRows(`kind: route
name: stock
match: { pathPrefix: /stock }
pool: yard-app
repeat: idempotent
deadlineMs: 3000
customerLimit: { requestsPerS: 20, concurrentMax: 20, burstRequests: 40 }
customerOverrides: { ${override} }
`)

it('shows both values of a field under a customer whose name contains dots', () => {
  const limit = (rate: number) => `ridge.example.com: { requestsPerS: ${rate}, concurrentMax: 2, burstRequests: 3 }`
  const [changed] = diffRows(route(limit(1)), route(`${limit(5)}, ridge: { requestsPerS: 7, concurrentMax: 2, burstRequests: 3 }`))
  const text = formatChange(changed!)
  expect(text).toContain('customerOverrides.ridge.example.com.requestsPerS: 1 -> 5')
  expect(text).toContain('customerOverrides.ridge: (absent) -> {"requestsPerS":7')
})

it('keeps columns aligned when a cell is longer than its header', () => {
  expect(formatTable([['A', 'B'], ['longer', 'x']])).toBe('A       B\nlonger  x')
})
