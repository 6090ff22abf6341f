import { startEngineStandIn, startLogStandIn, startServiceStandIn, type StandInServer } from '../../src/standIns/index.js'
import { startNaiveRelay } from './naiveRelay.js'

/** Servers that the suite runs as child processes. */
export enum ChildServer {
  Engine = 'engine',
  Service = 'service',
  Log = 'log',
  NaiveRelay = 'naive-relay'
}

/** More than the concurrent streams of any round, so that the engine never queues requests. */
const ENGINE_BATCH_MAX = 2_048
const ENGINE_PREFILL_TOKENS_PER_S = 1_000_000
export const TOKEN_INTERVAL_MS = 10

const STARTERS: Record<ChildServer, (argument: string) => Promise<Pick<StandInServer, 'url'>>> = {
  [ChildServer.Engine]: () => startEngineStandIn({
    tokenIntervalMs: TOKEN_INTERVAL_MS, batchMax: ENGINE_BATCH_MAX, prefillTokensPerS: ENGINE_PREFILL_TOKENS_PER_S
  }),
  [ChildServer.Service]: () => startServiceStandIn(),
  [ChildServer.Log]: () => startLogStandIn(),
  [ChildServer.NaiveRelay]: startNaiveRelay
}

const [kind, argument = ''] = process.argv.slice(2)
if (process.argv[1]?.endsWith('standInProcess.ts') && kind !== undefined) {
  const { url } = await STARTERS[kind as ChildServer](argument)
  console.log(url)
}
