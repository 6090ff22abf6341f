/** Customer limits, retry budgets and admission. */
export * from './constants.js'
export * from './createAdmission.js'
export * from './createCustomerLimits.js'
export * from './createLimitCoordinator.js'
export * from './createRetryBudget.js'
export * from './frames.js'
export * from './types.js'
