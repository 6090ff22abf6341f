import type { Incarnation } from '../core/index.js'
import { type Ballot, compareBallots, type RankBoundMessage, SwitchKind, type SwitchRules } from './switchTypes.js'

/** How a rank treats a message of a coordinator. */
export enum Admission {
  Handle = 'handle',
  /** A higher ballot has been promised, or the coordinator must send a prepare message first. */
  Refuse = 'refuse',
  /** The ballot has already released this rank; only the reply is sent again. */
  Repeat = 'repeat',
  /** The message is a late duplicate, or addressed to an earlier run of this process. */
  Ignore = 'ignore'
}

/** The highest ballot that a rank has promised; it refuses messages of lower ones. */
export interface BallotPromise {
  readonly ballot: Ballot | undefined
  admit (message: RankBoundMessage): Admission
  /** Ends the ballot for this rank; duplicates of its messages that arrive later have no effect. */
  close (): void
}

/** Creates the ballot promise for one run of a rank. */
export const createBallotPromise = (
  { incarnation, rules }: { incarnation: Incarnation, rules: SwitchRules }
): BallotPromise => {
  let promised: Ballot | undefined
  let isClosed = false

  const promise = (ballot: Ballot) => {
    promised = ballot
    isClosed = false
  }

  /**
   * A stage message also counts as a prepare message if the last promise was to the same run of the
   * coordinator and that round has released this rank. The state has not changed since, so the
   * coordinator knows it.
   */
  const canPromiseByStage = (ballot: Ballot) => promised !== undefined && isClosed && promised[1] === ballot[1]

  const admitPrepare = (ballot: Ballot, order: number): Admission => {
    if (order > 0) promise(ballot)
    return Admission.Handle
  }

  const admitInBallot = (kind: SwitchKind): Admission => {
    if (!isClosed) return Admission.Handle
    if (kind === SwitchKind.Release) return Admission.Repeat
    return rules.checksBallot ? Admission.Ignore : Admission.Handle
  }

  return {
    get ballot () { return promised },
    admit: message => {
      const { kind, ballot } = message
      const order = promised === undefined ? 1 : compareBallots(ballot, promised)
      if (rules.checksBallot && order < 0) return Admission.Refuse
      if (kind === SwitchKind.MapRequest) return Admission.Handle
      if (kind === SwitchKind.Prepare) return admitPrepare(ballot, order)
      if (rules.checksIncarnation && message.incarnation !== incarnation) return Admission.Ignore
      if (order > 0 && kind === SwitchKind.Stage && canPromiseByStage(ballot)) promise(ballot)
      else if (rules.checksBallot && order > 0) {
        return kind === SwitchKind.Stage && promised !== undefined ? Admission.Refuse : Admission.Ignore
      }
      return admitInBallot(kind)
    },
    close: () => { isClosed = true }
  }
}
