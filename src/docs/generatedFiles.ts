import { renderJsonSchemas } from './jsonSchemas.js'
import { renderMetricsPage } from './metricsPage.js'
import { renderResultCodesPage } from './resultCodesPage.js'

/** Content of every generated file in the repository, by path. */
export const renderGeneratedFiles = (): Record<string, string> => ({
  'docs/result-codes.md': renderResultCodesPage(),
  'docs/metrics.md': renderMetricsPage(),
  ...renderJsonSchemas()
})
