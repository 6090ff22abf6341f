import type { Incarnation } from '../core/index.js'
import { type Ballot, compareBallots, type RankBoundMessage, SwitchKind, type SwitchRules } from './switchTypes.js'

/** What a rank does with a message of a coordinator. */
export enum Admission {
  Handle = 'handle',
  /** A higher ballot is promised, or the coordinator must prepare first. */
  Refuse = 'refuse',
  /** The ballot has released this rank already; only the answer is repeated. */
  Repeat = 'repeat',
  /** A late copy, or addressed to an earlier run of this process. */
  Ignore = 'ignore'
}

/** The highest ballot that a rank has promised to obey. */
export interface BallotPromise {
  readonly ballot: Ballot | undefined
  admit (message: RankBoundMessage): Admission
  /** Ends the ballot for this rank; later copies of its messages have no effect. */
  close (): void
}

/** Creates the promise of one run of a rank. */
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
   * A stage message is a promise too if the last promise was to the same run of the coordinator and
   * that round has released this rank: nothing has changed since, so the coordinator knows the state.
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
