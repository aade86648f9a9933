/** Messages that entry instances send to each other, in datagrams that may be lost. */
namespace py hints

enum HintKind {
  /** A call has been open for `value` ms, longer than usual; the upstream may be paused. */
  LATE = 0,
  /** A late call was answered, after `value` times the baseline latency. */
  ANSWERED = 1,
  /** The upstream names a rate limit, which is `value` requests a second for all instances. */
  LIMITED = 2,
  /** The upstream no longer names a rate limit. */
  UNLIMITED = 3,
  /**
   * The upstream is starting or recovering, and all instances together should have `value` calls
   * in progress there; as many as its slots or more end this.
   */
  PACED = 4,
}

struct Hint {
  1: HintKind kind,
  2: string upstream,
  3: double value,
}

/** A change of a store key: the value written, or no value if the key was deleted. */
struct Change {
  1: string key,
  2: optional binary value,
  3: i64 revision,
}

struct Changes {
  1: list<Change> items,
}

/** The store's changes after `from_revision` up to `to_revision`, as read by a watcher. */
struct Feed {
  1: i64 from_revision,
  2: i64 to_revision,
  /** Time in ms since the store last answered the sender's watch. */
  3: double age_ms,
  /** A `Changes` struct compressed with zlib; unset if there are no changes. */
  4: optional binary changes,
  /** The store's era to which the revisions belong. */
  5: optional i64 era,
}

/** How many requests of a team the sender has admitted since its start. */
struct TeamCount {
  1: string team,
  2: double count,
}

/** What the sender has admitted within the quotas of teams. */
struct QuotaReport {
  /** Differs at each start of the sender. */
  1: string incarnation,
  /** Time in ms since the start of the sender. */
  2: double uptime_ms,
  3: list<TeamCount> counts,
  /** The instances whose reports the sender no longer receives. */
  4: list<string> missed,
  /** Whether callers are sent to the sender. */
  5: bool is_in_use,
}

struct Message {
  1: string sender,
  /** The event loop lag of the sender, in ms: how late timers fire when processor time is short. */
  2: double strain_ms,
  3: list<Hint> hints,
  /** Set only by watchers, which read the store's changes and relay them. */
  4: optional Feed feed,
  /** Set only where teams have quotas. */
  5: optional QuotaReport quota,
}
