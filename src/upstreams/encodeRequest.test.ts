import { describe, expect, it } from 'vitest'
import { createMonotonicClock } from '../core/index.js'
import { createConnectionPool } from './connectionPool.js'
import { encodeRequest, UnsendableRequestError } from './encodeRequest.js'
import { ConnectionUse, type OutgoingRequest } from './types.js'

const request = (overrides: Partial<OutgoingRequest> = {}): OutgoingRequest =>
  ({ method: 'GET', path: '/a?b=c', headers: [['host', 'site.example'], ['x-area', '\xd8stmarka']], body: Buffer.from('\u{1f33f}'), ...overrides })

describe('encodeRequest', () => {
  it('writes one byte for each character of the head, and the body as it is', () => {
    const { bytes, isHeadRequest } = encodeRequest(request())
    expect(Buffer.from(bytes)).toEqual(Buffer.concat([
      Buffer.from('GET /a?b=c HTTP/1.1\r\nhost: site.example\r\nx-area: \xd8stmarka\r\n\r\n', 'latin1'), Buffer.from('\u{1f33f}')
    ]))
    expect(isHeadRequest).toBe(false)
  })

  // Guards against a head that a worker reads as another one: characters beyond one byte lose their upper half.
  it.each<[string, Partial<OutgoingRequest>]>([
    ['a line break in a value', { headers: [['tenant', 'a\r\nx: y']] }],
    ['a character of more than one byte in a value', { headers: [['tenant', 'Porsáŋgu']] }],
    ['a space at the end of a value, which a receiver drops', { headers: [['tenant', 'a ']] }],
    ['a control character in a value', { headers: [['tenant', 'a\u0001']] }],
    ['a space in a name', { headers: [['x y', 'a']] }],
    ['an empty name', { headers: [['', 'a']] }],
    ['a space in the target', { path: '/a b' }],
    ['an empty target', { path: '' }],
    ['a line break in the method', { method: 'GET\r\n' }]
  ])('rejects %s', (_what, overrides) => {
    expect(() => encodeRequest(request(overrides))).toThrow(UnsendableRequestError)
  })

  it('opens no connection for a request that it rejects', () => {
    const pool = createConnectionPool({ address: '127.0.0.1:1', clock: createMonotonicClock() })
    expect(() => pool.send(request({ path: '' }), ConnectionUse.Reuse, () => {})).toThrow(UnsendableRequestError)
    expect(pool.openedCount).toBe(0)
  })
})
