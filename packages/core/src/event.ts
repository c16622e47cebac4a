/** Numbered log events; `docs/EVENTS.md` is generated from their definitions. */

/** Severity of an event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error'

/** Definition of one numbered event. */
export interface EventDefinition {
  /** `FT` and three digits; never reused for another event. */
  readonly id: string
  readonly level: EventLevel
  /** Short description of what happened. */
  readonly title: string
  /** Explanation and advice for operators. */
  readonly help: string
}

/** Plain values that describe one occurrence; must not contain API keys or message bodies. */
export type EventFields = Readonly<Record<string, unknown>>

/** Sink of log events. */
export interface EventLog {
  record: (event: EventDefinition, fields: EventFields) => void
}

/** All event definitions, in order of definition. */
export const eventRegistry: EventDefinition[] = []

/**
 * Defines an event and adds it to the registry.
 *
 * @throws if the id is malformed or already defined, which is a programming error
 */
export function defineEvent (id: string, level: EventLevel, title: string, help: string): EventDefinition {
  if (!/^FT[0-9]{3}$/.test(id)) throw new Error(`event id ${id} does not consist of FT and three digits`)
  if (eventRegistry.some((known) => known.id === id)) throw new Error(`event id ${id} is already defined`)
  const definition = { id, level, title, help }
  eventRegistry.push(definition)
  return definition
}
