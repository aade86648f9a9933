/** What entry instances tell each other, in datagrams that may be lost. */
namespace py hints

enum HintKind {
  /** A call has been open for `value` ms, longer than usual: the upstream may be paused. */
  LATE = 0,
  /** A call that was late has been answered, after `value` times the usual time. */
  ANSWERED = 1,
}

struct Hint {
  1: HintKind kind,
  2: string upstream,
  3: double value,
}

/** A key of the store as it was written; without a value it was deleted. */
struct Change {
  1: string key,
  2: optional binary value,
  3: i64 revision,
}

struct Changes {
  1: list<Change> items,
}

/** The store's changes after one revision up to another, as a watcher has read them. */
struct Feed {
  1: i64 from_revision,
  2: i64 to_revision,
  /** How long ago the store last answered the sender's watch, in ms. */
  3: double age_ms,
  /** `Changes`, compressed by zlib; nothing if there are none. */
  4: optional binary changes,
}

struct Message {
  1: string sender,
  /** How late timers fire at the sender, in ms: its lack of processor time. */
  2: double strain_ms,
  3: list<Hint> hints,
  /** Only from instances that read the store's changes for others. */
  4: optional Feed feed,
}
