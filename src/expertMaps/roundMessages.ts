import { encodeChanges, isSameMap } from './expertMap.js'
import { type Member, Phase, releaseFor, type Round } from './round.js'
import { type RankBoundMessage, StageProgress, SwitchKind } from './switchTypes.js'
import type { ExpertMap } from './types.js'

type StageMessage = Extract<RankBoundMessage, { kind: SwitchKind.Stage }>

const addressOf = ({ ballot }: Round, { view }: Member) => ({ ballot, incarnation: view?.incarnation ?? '' })

/** Base map of the changes sent to a rank: the one that it uses if this process knows it, else version 0. */
const baseFor = ({ target }: Round, { view, needsVersionZero }: Member, knownMaps: readonly ExpertMap[]): ExpertMap => {
  const versionZero = knownMaps[knownMaps.length - 1]!
  if (needsVersionZero) return versionZero
  return [target!, ...knownMaps].find(map => isSameMap(map.id, view?.latest ?? undefined)) ?? versionZero
}

/** Stage message for a rank; without changes it is only a progress poll. `knownMaps` ends with version 0. */
export const stageMessage = (
  round: Round, member: Member, knownMaps: readonly ExpertMap[], hasChanges: boolean
): StageMessage => {
  const target = round.target!
  const message: StageMessage = {
    kind: SwitchKind.Stage,
    ...addressOf(round, member),
    mapId: target.id,
    hasPeers: round.members.some(({ view }) => view !== undefined && view.latest !== null)
  }
  if (!hasChanges) return message
  const base = baseFor(round, member, knownMaps)
  const bytes = round.encodedChanges.get(base.id.hash) ?? encodeChanges(base, target)
  round.encodedChanges.set(base.id.hash, bytes)
  return { ...message, changes: { base: base.id, bytes } }
}

const MESSAGE_TABLE: Record<Phase, (round: Round, member: Member, knownMaps: readonly ExpertMap[]) => RankBoundMessage> = {
  [Phase.Preparing]: ({ ballot }) => ({ kind: SwitchKind.Prepare, ballot }),
  [Phase.Fetching]: ({ ballot, assessment }) => ({ kind: SwitchKind.MapRequest, ballot, mapId: assessment!.newest! }),
  [Phase.Staging]: (round, member, knownMaps) =>
    stageMessage(round, member, knownMaps, member.progress !== StageProgress.Copying),
  [Phase.Holding]: (round, member) =>
    ({ kind: SwitchKind.Hold, ...addressOf(round, member), step: round.step }),
  [Phase.Releasing]: (round, member) =>
    ({ kind: SwitchKind.Release, ...addressOf(round, member), ...releaseFor(round, member) })
}

/** Message to a rank in the current phase of a round. */
export const phaseMessage = (round: Round, member: Member, knownMaps: readonly ExpertMap[]): RankBoundMessage =>
  MESSAGE_TABLE[round.phase](round, member, knownMaps)
