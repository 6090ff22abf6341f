const SIGNIFICANT_DIGITS = 4

/** Formats a number with 4 significant digits and thousands separators; '-' if it isn't finite. */
export const formatNumber = (value: number): string =>
  Number.isFinite(value) ? Number(value.toPrecision(SIGNIFICANT_DIGITS)).toLocaleString('en', { maximumSignificantDigits: SIGNIFICANT_DIGITS }) : '-'
