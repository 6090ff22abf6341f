import { describe, expect, it } from 'vitest'
import { createManualClock, ResultCode } from '../core/index.js'
import { FrameKind, IDLE_PROBE_MS, NodeRole, PROBE_TIMEOUT_MS, UNANSWERED_PROBE_MS } from './constants.js'
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
    ['a wrong secret with a known key id', [{ ...oldKey, secret: 'guess' }], [oldKey], 0],
    ['a retired key', [oldKey], [newKey], 0],
    ['no key', [], [oldKey], 0]
  ])('opens only with an accepted fleet key: %s', (_case, dialerKeys, acceptorKeys, expected) => {
    expect(readyCount(connect(dialerKeys, acceptorKeys).effects)).toBe(expected)
  })

  it('rejects requests before the handshake has completed', () => {
    const clock = createManualClock()
    const link = createLink({
      side: LinkSide.Acceptor, self: identityOf('agent-1', NodeRole.Agent), keys: [oldKey], nonce: 'b', clock
    })
    const effects = link.handle({ kind: LinkMessageKind.FrameReceived, frame: { kind: FrameKind.Run } })
    expect(effects.map(({ kind }) => kind)).toEqual([LinkEffectKind.CloseSocket, LinkEffectKind.PeerLost])
  })

  const kindsOf = (effects: LinkEffect[]) => effects.map(({ kind }) => kind)
  const tick = { kind: LinkMessageKind.Tick } as const
  const lost = { kind: LinkEffectKind.PeerLost, code: ResultCode.AnswerLost, reason: 'link is silent' }

  it.each<[string, FrameKind | undefined, number]>([
    ['with a request in flight', FrameKind.Run, UNANSWERED_PROBE_MS],
    ['while idle', undefined, IDLE_PROBE_MS]
  ])('closes a connection that was lost without a reset, %s', (_case, sent, probeAfterMs) => {
    const { clock, links } = connect([oldKey], [oldKey])
    const link = links[LinkSide.Dialer]
    if (sent !== undefined) link.handle({ kind: LinkMessageKind.SendRequested, frame: { kind: sent } })
    clock.advance(probeAfterMs + 1)
    expect(link.handle(tick)).toEqual([{ kind: LinkEffectKind.SendFrame, frame: { kind: FrameKind.Heartbeat, isProbe: true } }])
    clock.advance(PROBE_TIMEOUT_MS + 1)
    expect(link.handle(tick)).toContainEqual(lost)
    expect(link.handle(tick)).toEqual([])
  })

  it('keeps a connection whose peer replies to the probe', () => {
    const { clock, links } = connect([oldKey], [oldKey])
    clock.advance(IDLE_PROBE_MS + 1)
    const [probe] = links[LinkSide.Dialer].handle(tick)
    if (probe?.kind !== LinkEffectKind.SendFrame) throw new Error('no probe')
    const [answer] = links[LinkSide.Acceptor].handle({ kind: LinkMessageKind.FrameReceived, frame: probe.frame })
    if (answer?.kind !== LinkEffectKind.SendFrame) throw new Error('no reply')
    expect(links[LinkSide.Dialer].handle({ kind: LinkMessageKind.FrameReceived, frame: answer.frame })).toEqual([])
    clock.advance(PROBE_TIMEOUT_MS + 1)
    expect(links[LinkSide.Dialer].handle(tick)).toEqual([])
  })

  it('sends nothing on an idle link before the probe is due', () => {
    const { clock, links } = connect([oldKey], [oldKey])
    links[LinkSide.Dialer].handle({ kind: LinkMessageKind.SendRequested, frame: { kind: FrameKind.Report } })
    clock.advance(IDLE_PROBE_MS)
    expect(kindsOf(links[LinkSide.Dialer].handle(tick))).toEqual([])
  })
})
