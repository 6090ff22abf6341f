import type { Suite } from '../harness/index.js'
import { measureLimitOvershoot } from './limitOvershoot.js'
import { measureOverload } from './overload.js'
import { measureQuietCustomers } from './quietCustomers.js'
import { measureRetries } from './retries.js'
import { measureSelection } from './selection.js'

/** Measures routing, limits, retries and admission against naive baselines. */
export const run: Suite = async ({ seed }) => [
  ...measureSelection(seed, 12),
  ...measureSelection(seed, 48),
  ...measureOverload(seed),
  ...measureRetries(seed),
  ...measureLimitOvershoot(seed),
  ...measureQuietCustomers(seed)
]
