import { type Attributes, type Context, ROOT_CONTEXT, type Span, SpanStatusCode, trace, TraceFlags } from '@opentelemetry/api'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base'
import { describeResult, Outcome, ResultCode } from '../core/index.js'

/** Span names, one for each hop of a request. */
export enum SpanName {
  Caller = 'caller.request',
  Entry = 'entry.request',
  Attempt = 'entry.attempt',
  Owner = 'owner.bind',
  Agent = 'agent.run',
  Engine = 'engine.call'
}

/** Span of one hop of a request. */
export interface HopSpan {
  /** W3C trace context header; the next hop's span becomes a child of this span through it. */
  readonly traceparent: string | undefined
  addEvent (name: string, attributes?: Attributes): void
  end (code: ResultCode): void
}

export interface Tracing {
  startSpan (name: SpanName, parentTraceparent: string | undefined, attributes?: Attributes): HopSpan
  close (): Promise<void>
}

export interface TracingOptions {
  otlpUrl: string
  serviceName: string
  nodeId: string
}

const EXPORT_INTERVAL_MS = 500
const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/

const contextOf = (traceparent: string | undefined): Context => {
  const match = TRACEPARENT.exec(traceparent ?? '')
  if (match === null) return ROOT_CONTEXT
  const [, traceId = '', spanId = '', flags = '00'] = match
  return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, traceFlags: parseInt(flags, 16), isRemote: true })
}

const traceparentOf = (span: Span): string => {
  const { traceId, spanId, traceFlags } = span.spanContext()
  return `00-${traceId}-${spanId}-${(traceFlags & TraceFlags.SAMPLED).toString(16).padStart(2, '0')}`
}

/** Creates tracing that records nothing; the parent's header is propagated unchanged. */
export const createNoTracing = (): Tracing => ({
  startSpan: (_name, parentTraceparent) => ({ traceparent: parentTraceparent, addEvent: () => {}, end: () => {} }),
  close: async () => {}
})

/**
 * Creates tracing that exports a span for each hop over OTLP/HTTP.
 *
 * @example
 * const tracing = createTracing({ otlpUrl: 'http://127.0.0.1:4318/v1/traces', serviceName: 'baobabdrift-entry', nodeId })
 * const span = tracing.startSpan(SpanName.Entry, request.headers.traceparent)
 * span.end(ResultCode.Ok)
 */
export const createTracing = ({ otlpUrl, serviceName, nodeId }: TracingOptions): Tracing => {
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({ 'service.name': serviceName, 'service.instance.id': nodeId }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url: otlpUrl }), { scheduledDelayMillis: EXPORT_INTERVAL_MS })]
  })
  const tracer = provider.getTracer('baobabdrift')

  return {
    startSpan: (name, parentTraceparent, attributes = {}) => {
      const span = tracer.startSpan(name, { attributes }, contextOf(parentTraceparent))
      return {
        traceparent: traceparentOf(span),
        addEvent: (event, eventAttributes) => { span.addEvent(event, eventAttributes) },
        end: code => {
          span.setAttribute('result.code', code)
          const hasRun = describeResult(code).outcome === Outcome.Ran
          span.setStatus(hasRun ? { code: SpanStatusCode.OK } : { code: SpanStatusCode.ERROR, message: describeResult(code).text })
          span.end()
        }
      }
    },
    close: () => provider.shutdown()
  }
}
