import fastify from 'fastify'
import { listenOnLoopback, type StandInServer } from './listenOnLoopback.js'

/** A span in the form in which the OTLP exporter sends it. */
export interface CollectedSpan {
  traceId: string
  spanId: string
  parentSpanId?: string
  name: string
  attributes: { key: string, value: { stringValue?: string, intValue?: number | string } }[]
  events?: { name: string }[]
}

interface ExportBody {
  resourceSpans?: { scopeSpans?: { spans?: CollectedSpan[] }[] }[]
}

const BODY_LIMIT_BYTES = 8 * 1024 * 1024

/**
 * Starts a stand-in for a trace collector; it keeps all exported spans.
 *
 * @example
 * const collector = await startCollectorStandIn()
 * collector.spans.filter(({ name }) => name === SpanName.Agent)
 */
export const startCollectorStandIn = async (): Promise<StandInServer & { readonly spans: readonly CollectedSpan[] }> => {
  const spans: CollectedSpan[] = []
  const app = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true })
  app.post<{ Body: ExportBody }>('/v1/traces', async ({ body }) => {
    for (const { scopeSpans = [] } of body.resourceSpans ?? []) {
      for (const scope of scopeSpans) spans.push(...scope.spans ?? [])
    }
    return {}
  })
  const server = await listenOnLoopback(app, 0)
  return { ...server, spans }
}
