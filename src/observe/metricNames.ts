/** Names of the metrics of all programs; docs/operators.md lists them with their units. */
export enum MetricName {
  RequestsTotal = 'requests_total',
  RequestDurationMs = 'request_duration_ms',
  FirstTokenMs = 'first_token_ms',
  AttemptsTotal = 'attempts_total',
  FramesDroppedTotal = 'frames_dropped_total',
  RequestsLive = 'requests_live',
  RunsLive = 'runs_live',
  LinksOpen = 'links_open',
  LinksLostTotal = 'links_lost_total',
  ConfigurationOffset = 'configuration_offset',
  MembersLive = 'members_live',
  LogFailuresTotal = 'log_failures_total',
  UpstreamUp = 'upstream_up',
  UpstreamsEjectedTotal = 'upstreams_ejected_total',
  SuspectsTotal = 'suspects_total',
  QuarantinedTotal = 'quarantined_total',
  BindingsTotal = 'bindings_total',
  KeysKept = 'keys_kept',
  MapSwitchesTotal = 'map_switches_total',
  StepDurationMs = 'step_duration_ms',
  GossipRefusedTotal = 'gossip_refused_total',
  EvacuatedDomains = 'evacuated_domains',
  DomainEvacuated = 'domain_evacuated',
  CallersClosedTotal = 'callers_closed_total',
  BodiesRefusedTotal = 'bodies_refused_total',
  CallerBytes = 'caller_bytes',
  CallerConnections = 'caller_connections'
}

export enum MetricKind {
  Counter = 'counter',
  Gauge = 'gauge',
  Timing = 'timing'
}

export interface MetricDescription {
  kind: MetricKind
  unit: string
  text: string
}

const counter = (unit: string, text: string): MetricDescription => ({ kind: MetricKind.Counter, unit, text })
const gauge = (unit: string, text: string): MetricDescription => ({ kind: MetricKind.Gauge, unit, text })
const timing = (text: string): MetricDescription => ({ kind: MetricKind.Timing, unit: 'ms', text })

export const METRIC_TABLE: Record<MetricName, MetricDescription> = {
  [MetricName.RequestsTotal]: counter('requests', 'requests that ended, by route and result code'),
  [MetricName.RequestDurationMs]: timing('time from the arrival of a request to its end'),
  [MetricName.FirstTokenMs]: timing('time from the arrival of a request to its first response bytes'),
  [MetricName.AttemptsTotal]: counter('attempts', 'attempts that ended, by result'),
  [MetricName.FramesDroppedTotal]: counter('frames', 'response frames that matched no attempt'),
  [MetricName.RequestsLive]: gauge('requests', 'requests in flight at the entry'),
  [MetricName.RunsLive]: gauge('runs', 'runs in progress at the agent'),
  [MetricName.LinksOpen]: gauge('links', 'open links'),
  [MetricName.LinksLostTotal]: counter('links', 'links that were lost'),
  [MetricName.ConfigurationOffset]: gauge('offset', 'offset up to which the tables are applied'),
  [MetricName.MembersLive]: gauge('nodes', 'members that gossip shows as alive, by role'),
  [MetricName.LogFailuresTotal]: counter('calls', 'calls to the log that failed'),
  [MetricName.UpstreamUp]: gauge('0 or 1', 'whether the upstream answers its agent'),
  [MetricName.UpstreamsEjectedTotal]: counter('upstreams', 'upstreams ejected as outliers'),
  [MetricName.SuspectsTotal]: counter('requests', 'requests that became suspects'),
  [MetricName.QuarantinedTotal]: counter('requests', 'requests that were quarantined'),
  [MetricName.BindingsTotal]: counter('bindings', 'binding answers of a shard owner, by result code'),
  [MetricName.KeysKept]: gauge('keys', 'idempotency keys kept by the agent'),
  [MetricName.MapSwitchesTotal]: counter('switches', 'expert map switches, by result'),
  [MetricName.StepDurationMs]: timing('compute time of one step at this rank, without waiting for other ranks'),
  [MetricName.EvacuatedDomains]: gauge('domains', 'failure domains whose upstreams get no further requests'),
  [MetricName.DomainEvacuated]: gauge('0 or 1', 'whether a failure domain is evacuated, by domain'),
  [MetricName.GossipRefusedTotal]: counter('datagrams', 'datagrams that were refused, by reason'),
  [MetricName.CallersClosedTotal]: counter('connections', 'connections of callers that were closed beyond the limits, by reason'),
  [MetricName.BodiesRefusedTotal]: counter('bodies', 'bodies that were refused before their request ran, by refusal'),
  [MetricName.CallerBytes]: gauge('bytes', 'bytes held for callers'),
  [MetricName.CallerConnections]: gauge('connections', 'open connections of callers')
}
