import { isIP } from 'node:net'

/** Parses `ip:port`; undefined if the text is not an IP address with a port. */
export const parseAddress = (address: string): { host: string, port: number } | undefined => {
  const at = address.lastIndexOf(':')
  const host = address.slice(0, Math.max(0, at)).replace(/^\[|\]$/g, '')
  const port = Number(address.slice(at + 1))
  return isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port < 65_536 ? { host, port } : undefined
}
