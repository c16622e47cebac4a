/** Matches requests to routes by method and path. */
import type { Route } from './route.js'

/** A matched route with the path parameters of its pattern. */
export interface RouteMatch {
  readonly route: Route
  readonly parameters: Readonly<Record<string, string>>
}

/** Result of matching a method and path. */
export type MatchResult =
  | { readonly kind: 'found', readonly match: RouteMatch }
  | { readonly kind: 'wrongMethod', readonly allowed: readonly string[] }
  | { readonly kind: 'notFound' }

function decodeSegment (segment: string): string | null {
  try {
    return decodeURIComponent(segment)
  } catch {
    return null
  }
}

function matchPattern (pattern: readonly string[], path: readonly string[]): Record<string, string> | null {
  const parameters: Record<string, string> = {}
  for (const [index, part] of pattern.entries()) {
    if (part === '*') {
      parameters['*'] = path.slice(index).join('/')
      return parameters
    }
    const segment = path[index]
    if (segment === undefined) return null
    if (!part.startsWith(':')) {
      if (part !== segment) return null
      continue
    }
    const value = decodeSegment(segment)
    if (value === null || value === '') return null
    parameters[part.slice(1)] = value
  }
  return pattern.length === path.length ? parameters : null
}

/** Creates a function that finds the first matching route. */
export function createRouter (routes: readonly Route[]): (method: string, path: string) => MatchResult {
  const compiled = routes.map((route) => ({ route, pattern: route.pattern.split('/').slice(1) }))
  return (method, path) => {
    const segments = path.split('/').slice(1)
    const allowed: string[] = []
    for (const { route, pattern } of compiled) {
      const parameters = matchPattern(pattern, segments)
      if (parameters === null) continue
      if (route.method === method) return { kind: 'found', match: { route, parameters } }
      allowed.push(route.method)
    }
    return allowed.length > 0 ? { kind: 'wrongMethod', allowed } : { kind: 'notFound' }
  }
}
