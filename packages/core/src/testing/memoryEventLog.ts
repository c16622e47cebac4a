/** In-memory event log for tests. */
import type { EventDefinition, EventFields, EventLog } from '../event.js'

/** One recorded event. */
export interface RecordedEvent {
  readonly event: EventDefinition
  readonly fields: EventFields
}

export interface MemoryEventLog extends EventLog {
  /** All recorded events, oldest first. */
  readonly recorded: readonly RecordedEvent[]
  /** Lists the fields of all events with this id. */
  listFields: (id: string) => EventFields[]
}

/** Creates an empty log. */
export function createMemoryEventLog (): MemoryEventLog {
  const recorded: RecordedEvent[] = []
  return {
    recorded,
    record: (event, fields) => { recorded.push({ event, fields }) },
    listFields: (id) => recorded.filter((item) => item.event.id === id).map((item) => item.fields)
  }
}
