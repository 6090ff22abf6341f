import { type EventLog, LogEvent } from '../../observe/index.js'
import type { FleetReport, SelfDescription } from '../../peers/index.js'
import { createUpstreamCapacity, type UpstreamCapacity, type UpstreamCapacityOptions } from '../../upstreamCapacity/index.js'
import { type CapacityRecorder, createCapacityRecorder } from './capacityRecorder.js'

export interface LearnedCapacityOptions extends Omit<UpstreamCapacityOptions, 'peerTimes'> {
  reports: () => readonly FleetReport[]
  log: EventLog
}

/** The learned capacity of an entry, connected to its reports and its log. */
export interface LearnedCapacity {
  readonly capacity: UpstreamCapacity
  readonly recorder: CapacityRecorder
  /** The part of the peer reports; without a field, so without a byte, while no upstream may differ. */
  describe (): Pick<SelfDescription, 'upstreamTimes'>
  /** Logs the estimates that have changed; expected every few hundred ms. */
  tick (): void
}

const toRounded = (value: number) => Math.round(value * 100) / 100

/**
 * Creates the learned capacity of one entry.
 *
 * @example
 * const learned = createLearnedCapacity({ clock, random, upstreams: workers.all, reports, runningAt, log })
 * learned.capacity.estimatesOf(workers.usable('booking'))
 */
export const createLearnedCapacity = ({ reports, log, ...options }: LearnedCapacityOptions): LearnedCapacity => {
  const capacity = createUpstreamCapacity({ ...options, peerTimes: () => reports().map(({ upstreamTimes }) => upstreamTimes) })
  return {
    capacity,
    recorder: createCapacityRecorder({ clock: options.clock, capacity }),
    describe: () => {
      const upstreamTimes = capacity.report()
      return upstreamTimes === undefined ? {} : { upstreamTimes }
    },
    tick: () => {
      for (const { workerId, service, capacity: takes, speed, before } of capacity.tick()) {
        log(LogEvent.UpstreamCapacityChanged, {
          workerId, service, capacity: toRounded(takes), speed: toRounded(speed), capacityBefore: toRounded(before.capacity), speedBefore: toRounded(before.speed)
        })
      }
    }
  }
}
