import { readFileSync } from 'node:fs'
import { BaobabdriftError, ResultCode } from '../../core/index.js'
import { requireEntries } from '../cliSettings.js'
import { type EntryRoute, queryEntries, requireAnyResponse, routeSchema } from '../entriesClient.js'
import { formatTable } from '../formatRows.js'
import type { OperationContext, OperationResult } from './types.js'

export interface RouteRequest {
  path: string
  customer: string
  method: string | undefined
  bodyFile: string | undefined
  isJson: boolean
}

const HEADER = ['UPSTREAM', 'DOMAIN', 'LOAD', 'CAPACITY', 'WORK/S', 'FIRST TOKEN', 'RESULT']

const orDash = (value: number | undefined, unit = ''): string => value === undefined ? '-' : `${Math.round(value)}${unit}`

const resultOf = ({ isChosen, leftOut, closedForMs }: EntryRoute['upstreams'][number]): string =>
  isChosen ? 'chosen' : `left out: ${leftOut ?? 'unknown'}${closedForMs > 0 ? ` (for ${Math.round(closedForMs)} ms)` : ''}`

const toCells = (upstream: EntryRoute['upstreams'][number]): string[] => {
  const { upstreamId, failureDomain, load, capacity, workPerS, firstTokenMs } = upstream
  return [upstreamId, failureDomain, orDash(load), orDash(capacity), orDash(workPerS), orDash(firstTokenMs, ' ms'), resultOf(upstream)]
}

const formatLimits = ({ requestBytesMax, deadlineMs, customer }: EntryRoute['limits']): string[] => {
  const limits = [
    ...(requestBytesMax === undefined ? [] : [`at most ${requestBytesMax} bytes`]),
    ...(deadlineMs === undefined ? [] : [`deadline ${deadlineMs} ms`]),
    ...(customer === undefined ? [] : [`customer ${orDash(customer.requestsPerS)} requests/s, ${orDash(customer.concurrentMax)} at once, burst ${orDash(customer.burstRequests)} (all entries together)`])
  ]
  return limits.length === 0 ? [] : [`  limits: ${limits.join('; ')}`]
}

const formatRoute = (address: string, { nodeId, code, reason, route, pool, limits, upstreams, notes }: EntryRoute): string[] => {
  const chosen = upstreams.find(({ isChosen }) => isChosen)
  const verdict = code === ResultCode.Ok ? `would go to ${chosen?.upstreamId ?? 'an upstream'}: ${reason}` : `would be refused with ${code}: ${reason}`
  return [
    `${nodeId} (${address}): ${verdict}`,
    ...(route === undefined ? [] : [`  route ${route}, pool ${pool ?? '-'}`]),
    ...formatLimits(limits),
    ...notes.map(note => `  note: ${note}`),
    ...(upstreams.length === 0 ? [] : formatTable([HEADER, ...upstreams.map(toCells)]).split('\n').map(line => `  ${line}`))
  ]
}

const readBody = (file: string): string => {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new BaobabdriftError(ResultCode.BadRequest, `${file}: cannot be read: ${error instanceof Error ? error.message : String(error)}`)
  }
}

/**
 * Prints where a request would go now, by each of the given entries.
 *
 * @throws BaobabdriftError with BadRequest if the path or the body file is not usable
 */
export const explainRoute = async (
  { settings, print, printDiagnostic }: OperationContext, { path, customer, method, bodyFile, isJson }: RouteRequest
): Promise<OperationResult> => {
  if (!path.startsWith('/')) throw new BaobabdriftError(ResultCode.BadRequest, `the path of the request must start with /: ${path}`)
  const body = bodyFile === undefined ? '' : readBody(bodyFile)
  const question = { method: method ?? (bodyFile === undefined ? 'GET' : 'POST'), path, customer, body }
  const responses = await queryEntries(requireEntries(settings), '/v1/route', routeSchema, question)
  requireAnyResponse(responses)
  for (const { address, fault } of responses) if (fault !== undefined) printDiagnostic(`${address} did not respond: ${fault}`)
  if (isJson) print(JSON.stringify(responses.flatMap(({ address, answer }) => answer === undefined ? [] : [{ address, ...answer }])))
  else for (const { address, answer } of responses) if (answer !== undefined) formatRoute(address, answer).forEach(line => print(line))
  return { code: ResultCode.Ok }
}
