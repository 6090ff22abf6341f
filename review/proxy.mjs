// A proxy on the loopback address whose open connections can fall silent, while new ones work.
import { connect, createServer } from 'node:net'

/**
 * Starts a proxy to an address.
 *
 * @example
 * const proxy = await startProxy(store.address)
 * proxy.silence()
 */
export const startProxy = async targetAddress => {
  const [host, port] = targetAddress.split(':')
  const links = new Set()
  const server = createServer({ allowHalfOpen: true }, near => {
    const far = connect({ host, port: Number(port), allowHalfOpen: true })
    const link = { near, far, isSilent: false }
    links.add(link)
    const forward = (from, to) => {
      from.on('data', bytes => { if (!link.isSilent) to.write(bytes) })
      from.on('end', () => { if (!link.isSilent) to.end() })
      from.on('error', () => { if (!link.isSilent) to.destroy() })
      from.on('close', () => {
        if (!link.isSilent) to.destroy()
        links.delete(link)
      })
    }
    forward(near, far)
    forward(far, near)
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Nothing passes on the connections that are open now, and neither side sees an end or a reset. Returns their number. */
    silence: () => {
      for (const link of links) link.isSilent = true
      return links.size
    },
    close: () => {
      for (const { near, far } of links) {
        near.destroy()
        far.destroy()
      }
      return new Promise(resolve => server.close(resolve))
    }
  }
}
