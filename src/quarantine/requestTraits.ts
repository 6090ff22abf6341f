import { createHash } from 'node:crypto'

/** What a crash may be attributed to: a property that several requests can have. */
export enum TraitKind {
  /** The whole request: method, path, tenant and body. */
  Request = 'request',
  /** A part of the prompt that other requests may share. */
  PromptPart = 'part'
}

/** Kind and value of a trait in one text, as `kind/value`; equal at all entries. */
export type Trait = `${TraitKind}/${string}`

/** Hash of the content of a request; equal for all its attempts, whatever their ids. */
export type RequestFingerprint = string

/** The content of a request by which it is recognized at any entry. */
export interface RequestContent {
  method: string
  path: string
  tenant: string | undefined
  body: Uint8Array
  /** Model that reads the prompt; undefined for requests without one. */
  model: string | undefined
  /** Ids of the parts of the prompt that other requests may share. */
  promptParts: readonly string[]
}

const FINGERPRINT_DIGITS = 16

/**
 * Returns the fingerprint of a request: a hash of its method, path, tenant and body.
 *
 * @example
 * fingerprintRequest({ method: 'GET', path: '/quotes/7', tenant: 'acme', body })
 */
export const fingerprintRequest = (
  { method, path, tenant, body }: Pick<RequestContent, 'method' | 'path' | 'tenant' | 'body'>
): RequestFingerprint =>
  createHash('sha1').update(JSON.stringify([method, path, tenant ?? ''])).update(body).digest('hex').slice(0, FINGERPRINT_DIGITS)

/** Whether a trait is that of a whole request. */
export const isRequestTrait = (trait: Trait): boolean => trait.startsWith(`${TraitKind.Request}/`)

/**
 * Returns the traits of the prompt parts. They are bound to a model, as another model may bear the same part.
 *
 * @example
 * partTraits({ model: 'm', promptParts: ['5c1e'] }) // ['part/m/5c1e']
 */
export const partTraits = ({ model, promptParts }: Pick<RequestContent, 'model' | 'promptParts'>): Trait[] =>
  [...new Set(promptParts)].map((part): Trait => `${TraitKind.PromptPart}/${model ?? ''}/${part}`)

/**
 * Returns the trait of the whole request.
 *
 * @example
 * requestTrait({ method: 'GET', path: '/quotes/7', tenant: 'acme', body })
 */
export const requestTrait = (content: Pick<RequestContent, 'method' | 'path' | 'tenant' | 'body'>): Trait =>
  `${TraitKind.Request}/${fingerprintRequest(content)}`

/** Returns all traits of a request. */
export const traitsOf = (content: RequestContent): Trait[] => [requestTrait(content), ...partTraits(content)]
