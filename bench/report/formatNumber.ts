const SIGNIFICANT_DIGITS = 4

/** A number as people read it: 4 significant digits, with separators of thousands. */
export const formatNumber = (value: number): string =>
  Number.isFinite(value) ? Number(value.toPrecision(SIGNIFICANT_DIGITS)).toLocaleString('en', { maximumSignificantDigits: SIGNIFICANT_DIGITS }) : '-'
