/** Requests in flight at an upstream are told apart in this many equal bands of its slots. */
export const LOAD_BANDS = 3
/**
 * Upper bounds of the classes of response times, as multiples of the typical time of the service; the last class has no
 * upper bound. The first class holds the usual spread of plain requests, whatever mix of short and long ones they are.
 */
export const TIME_CLASS_BOUNDS = [2.4, 3.5, 6] as const
/** The multiple of the typical time that stands for each class. */
export const TIME_CLASS_FACTORS = [1, 2.9, 4.5, 8] as const
export const TIME_CLASSES = TIME_CLASS_FACTORS.length
/** The class of usual response times. */
export const USUAL_CLASS = 0
/** A known slowdown is changed by one that is this many times stronger or weaker; less is the noise of a few responses. */
export const FACTOR_CHANGE_MIN = 2
/** Response times rise with the requests in flight if they are this many times those with fewer requests. */
export const RISE_MIN = 1.8
/** A response counts half after this time. A longer one delays the discovery of a slowdown, a shorter one forgets it where there are few requests. */
export const SAMPLE_HALF_LIFE_MS = 1_000
/** Responses of one entry in one band count for no more than this. */
export const BAND_WEIGHT_MAX = 8
/** Slow responses in a band, decayed, that show a slowdown: three, as one or two are outliers. */
export const SLOW_WEIGHT_MIN = 2.05
/** Share of the responses in a band that must be slow; below a half, as the usual ones before a slowdown still count. */
export const SLOW_SHARE_MIN = 0.4
/** Recent usual responses, decayed, that end a slowdown: three of hopeful trials, as one in five is quick by chance. */
export const RECOVERED_WEIGHT_MIN = 1.7
/** What was learned in a band is kept for this time without slow responses there. */
export const BAND_KEEP_MS = 5_000
/** An entry classifies no responses of a service before it has seen this many. */
export const TYPICAL_SAMPLES_MIN = 4
/**
 * The typical time is the mean of this share of the responses, the shortest ones, times TYPICAL_SCALE: responses of a
 * slow upstream do not lengthen it by much. The scale makes up for the longest ones that are left out.
 */
export const TYPICAL_SHARE = 0.8
export const TYPICAL_SCALE = 1.17
/** Responses from which an entry takes the typical time of a service. */
export const TYPICAL_SAMPLES_MAX = 64
/** Slow responses in one entry, decayed, from which on it reports the response times of an upstream. */
export const SUSPECT_WEIGHT = 0.4
/** Reports carry counts in fractions of a response: one response is this many units. */
export const REPORT_UNITS = 4
/** Upper bound of a reported count, in units; more come from no entry or zone within the sizes of the deployments. */
export const REPORT_UNITS_MAX = 100_000
/** An upstream that gets less than its slots would allow is tried beyond that once in this time, by all entries together. */
export const TRIAL_INTERVAL_MS = 1_500
/** Interval of such trials while the last ones took the usual time. */
export const HOPEFUL_TRIAL_INTERVAL_MS = 150
/** Usual responses, decayed, that make the next trial due sooner. */
export const HOPEFUL_WEIGHT = 0.3
/** Estimates are computed again after this time, or after a response to this entry. */
export const ESTIMATE_AGE_MAX_MS = 50
