import { connect } from 'node:net'
import { CHECK_TIMEOUT_MS, UpstreamCheck } from './constants.js'

/**
 * Checks whether an upstream accepts connections, without sending a request. It tells a crash from a response that only
 * its connection lost.
 *
 * @example
 * checkUpstream('10.0.0.1:80', check => { ... })
 */
export const checkUpstream = (address: string, onChecked: (check: UpstreamCheck) => void): void => {
  const separatorAt = address.lastIndexOf(':')
  const socket = connect({ host: address.slice(0, separatorAt), port: Number(address.slice(separatorAt + 1)) })
  let isFinished = false
  const finish = (check: UpstreamCheck) => {
    if (isFinished) return
    isFinished = true
    clearTimeout(timer)
    socket.destroy()
    onChecked(check)
  }
  const timer = setTimeout(() => finish(UpstreamCheck.Unknown), CHECK_TIMEOUT_MS)
  socket.on('connect', () => finish(UpstreamCheck.Up))
  // A reset may come from an upstream that accepted the connection and has too many of them.
  socket.on('error', ({ code }: NodeJS.ErrnoException) => finish(code === 'ECONNREFUSED' ? UpstreamCheck.Down : UpstreamCheck.Unknown))
}
