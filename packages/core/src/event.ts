/** Numbered log events; docs/EVENTS.md is generated from their definitions. */

/** Severity of an event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error'

/** Definition of one numbered event. */
export interface EventDefinition {
  /** `FT` and three digits; never reused. */
  readonly id: string
  readonly level: EventLevel
  /** What happened, in a few words. */
  readonly title: string
  /** What an operator should know or do. */
  readonly help: string
}

/** Plain values that describe one occurrence; never a key or a body. */
export type EventFields = Readonly<Record<string, unknown>>

/** Where events go. */
export interface EventLog {
  record: (event: EventDefinition, fields: EventFields) => void
}

/** All definitions, in order of definition. */
export const eventRegistry: EventDefinition[] = []

/**
 * Defines an event and enters it into the registry.
 *
 * @throws if the id is malformed or taken: a broken invariant of the program itself
 */
export function defineEvent (id: string, level: EventLevel, title: string, help: string): EventDefinition {
  if (!/^FT[0-9]{3}$/.test(id)) throw new Error(`event id ${id} is not FT and three digits`)
  if (eventRegistry.some((known) => known.id === id)) throw new Error(`event id ${id} is defined twice`)
  const definition = { id, level, title, help }
  eventRegistry.push(definition)
  return definition
}
