/** State of a host in the platform's host list, which lags behind the actual state. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving'
}

export interface HostListEntry {
  /** IP address of the host. */
  address: string
  failureDomain: string
  state: HostState
}
