import { describe, expect, it } from 'vitest'
import { createManualClock, ResultCode } from '../core/index.js'
import { FrameKind, LINK_SILENCE_LIMIT_MS, NodeRole } from './constants.js'
import { createLink } from './createLink.js'
import { LinkSide } from './handshake.js'
import { type FleetKey, type LinkEffect, LinkEffectKind, LinkMessageKind, type PeerIdentity } from './types.js'

const identityOf = (nodeId: string, role: NodeRole): PeerIdentity =>
  ({ nodeId, role, incarnation: `${nodeId}-1`, address: '127.0.0.1:1', failureDomain: 'tema-a' })

const oldKey: FleetKey = { keyId: '2026-11', secret: 'old' }
const newKey: FleetKey = { keyId: '2026-12', secret: 'new' }

const connect = (dialerKeys: FleetKey[], acceptorKeys: FleetKey[]) => {
  const clock = createManualClock()
  const links = {
    [LinkSide.Dialer]: createLink({
      side: LinkSide.Dialer, self: identityOf('entry-1', NodeRole.Entry), keys: dialerKeys, nonce: 'a', clock
    }),
    [LinkSide.Acceptor]: createLink({
      side: LinkSide.Acceptor, self: identityOf('agent-1', NodeRole.Agent), keys: acceptorKeys, nonce: 'b', clock
    })
  }
  const effects: LinkEffect[] = []
  const other = { [LinkSide.Dialer]: LinkSide.Acceptor, [LinkSide.Acceptor]: LinkSide.Dialer }
  const perform = (side: LinkSide, produced: LinkEffect[]): void => {
    for (const effect of produced) {
      effects.push(effect)
      if (effect.kind !== LinkEffectKind.SendFrame) continue
      const to = other[side]
      perform(to, links[to].handle({ kind: LinkMessageKind.FrameReceived, frame: effect.frame }))
    }
  }
  perform(LinkSide.Acceptor, links[LinkSide.Acceptor].handle({ kind: LinkMessageKind.Opened }))
  perform(LinkSide.Dialer, links[LinkSide.Dialer].handle({ kind: LinkMessageKind.Opened }))
  return { clock, links, effects }
}

const readyCount = (effects: LinkEffect[]) => effects.filter(({ kind }) => kind === LinkEffectKind.PeerReady).length

describe('link', () => {
  it.each([
    ['the same key', [oldKey], [oldKey], 2],
    ['a rotation in progress, dialer first', [newKey, oldKey], [oldKey, newKey], 2],
    ['a wrong secret under a known id', [{ ...oldKey, secret: 'guess' }], [oldKey], 0],
    ['a key that was retired', [oldKey], [newKey], 0],
    ['no key', [], [oldKey], 0]
  ])('lets only the fleet in: %s', (_case, dialerKeys, acceptorKeys, expected) => {
    expect(readyCount(connect(dialerKeys, acceptorKeys).effects)).toBe(expected)
  })

  it('refuses work before the handshake ends', () => {
    const clock = createManualClock()
    const link = createLink({
      side: LinkSide.Acceptor, self: identityOf('agent-1', NodeRole.Agent), keys: [oldKey], nonce: 'b', clock
    })
    const effects = link.handle({ kind: LinkMessageKind.FrameReceived, frame: { kind: FrameKind.Run } })
    expect(effects.map(({ kind }) => kind)).toEqual([LinkEffectKind.CloseSocket, LinkEffectKind.PeerLost])
  })

  it('abandons a connection that goes silent without a reset', () => {
    const { clock, links } = connect([oldKey], [oldKey])
    clock.advance(LINK_SILENCE_LIMIT_MS + 1)
    const effects = links[LinkSide.Dialer].handle({ kind: LinkMessageKind.Tick })
    expect(effects).toContainEqual({ kind: LinkEffectKind.PeerLost, code: ResultCode.AnswerLost, reason: 'link is silent' })
    expect(links[LinkSide.Dialer].handle({ kind: LinkMessageKind.Tick })).toEqual([])
  })

  it('sends heartbeats only while nothing else is sent', () => {
    const { clock, links } = connect([oldKey], [oldKey])
    clock.advance(600)
    links[LinkSide.Dialer].handle({ kind: LinkMessageKind.SendRequested, frame: { kind: FrameKind.Report } })
    expect(links[LinkSide.Dialer].handle({ kind: LinkMessageKind.Tick })).toEqual([])
  })
})
