import { describe, expect, it } from 'vitest'
import { createByteBuffer, PAGE_BYTES_MIN } from './byteBuffer.js'

describe('a byte buffer', () => {
  // Guards against chunks of one byte that each keep a buffer or an object alive.
  it('keeps small chunks in compact memory', () => {
    const body = createByteBuffer()
    for (let at = 0; at < 50_000; at++) body.add(Buffer.from([at % 256]))
    expect(body.length).toBe(50_000)
    expect(body.occupiedBytes).toBeLessThanOrEqual(128 * 1024)
    expect(body.join().equals(Buffer.from(Array.from({ length: 50_000 }, (_, at) => at % 256)))).toBe(true)
  })

  it('occupies little for a small body, and joins chunks of any size', () => {
    const body = createByteBuffer()
    expect(body.add(Buffer.from('abc'))).toBe(PAGE_BYTES_MIN)
    const large = Buffer.alloc(300_000, 'x')
    body.add(large)
    expect(body.join().toString()).toBe('abc' + 'x'.repeat(300_000))
    body.clear()
    expect([body.length, body.occupiedBytes]).toEqual([0, 0])
  })

  it('hands its parts over without a copy, and is empty afterwards', () => {
    const body = createByteBuffer()
    for (let at = 0; at < 3_000; at++) body.add(Buffer.from('abc'))
    const parts = body.takeParts()
    expect(Buffer.concat(parts).toString()).toBe('abc'.repeat(3_000))
    expect(parts.length).toBeLessThan(10)
    body.add(Buffer.from('next'))
    expect([body.length, Buffer.concat(parts).toString('utf8', 0, 4)]).toEqual([4, 'abca'])
  })
})
