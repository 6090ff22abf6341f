import type { Command } from '@oclif/core'
import { ApplyCommand } from './commands/applyCommand.js'
import { DiffCommand } from './commands/diffCommand.js'
import { EvacuateCommand } from './commands/evacuateCommand.js'
import { ExplainCommand } from './commands/explainCommand.js'
import { GetCommand } from './commands/getCommand.js'
import { RouteCommand } from './commands/routeCommand.js'
import { StatusCommand } from './commands/statusCommand.js'
import { ValidateCommand } from './commands/validateCommand.js'
import { WatchCommand } from './commands/watchCommand.js'

export enum CommandName {
  Apply = 'apply',
  Diff = 'diff',
  Evacuate = 'evacuate',
  Explain = 'explain',
  Get = 'get',
  Route = 'route',
  Status = 'status',
  Validate = 'validate',
  Watch = 'watch'
}

/** All commands. package.json names this table as the target of oclif's explicit command strategy. */
export const COMMANDS: Record<CommandName, Command.Class> = {
  [CommandName.Apply]: ApplyCommand,
  [CommandName.Diff]: DiffCommand,
  [CommandName.Evacuate]: EvacuateCommand,
  [CommandName.Explain]: ExplainCommand,
  [CommandName.Get]: GetCommand,
  [CommandName.Route]: RouteCommand,
  [CommandName.Status]: StatusCommand,
  [CommandName.Validate]: ValidateCommand,
  [CommandName.Watch]: WatchCommand
}
