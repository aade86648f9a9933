/** What entry instances tell each other about upstreams, in datagrams that may be lost. */
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

struct Message {
  1: string sender,
  /** How late timers fire at the sender, in ms: its lack of processor time. */
  2: double strain_ms,
  3: list<Hint> hints,
}
