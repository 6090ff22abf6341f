import { renderJsonSchemas } from './jsonSchemas.js'
import { renderMetricsPage } from './metricsPage.js'
import { renderResultCodesPage } from './resultCodesPage.js'

/** Every generated file of the repository with its content. */
export const renderGeneratedFiles = (): Record<string, string> => ({
  'docs/result-codes.md': renderResultCodesPage(),
  'docs/metrics.md': renderMetricsPage(),
  ...renderJsonSchemas()
})
