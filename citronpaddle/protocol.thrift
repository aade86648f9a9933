// Frames and messages between entry instances. For compatibility, fields are only added, under new
// numbers; existing ones are neither changed nor removed.

struct Frame {
  1: i64 id,
  2: i16 kind,
  3: bool reply = false,
  4: bool last = true,
  5: binary body,
}

struct ExecuteCall {
  1: string call_id,
  2: string service_name,
  3: string upstream,
  4: list<string> shards,
  5: i64 version,
  6: string query,
  7: i32 limit,
  8: i32 deadline_ms,
  9: i16 priority,
  10: bool is_hedge = false,
}

struct ExecuteRequest {
  1: list<ExecuteCall> calls,
}

// `body` is the unparsed JSON reply of the upstream; only the entry instance parses it.
struct ExecuteReply {
  1: string call_id,
  2: string upstream,
  3: string error,
  4: string message,
  5: binary body,
}

struct CancelRequest {
  1: list<string> call_ids,
}

struct DescribeRequest {
  1: list<string> upstreams,
}

struct ShardDescription {
  1: string shard,
  2: i64 low,
  3: i64 high,
  4: list<i64> versions,
}

// `owner` is the instance that holds the lease, as far as the sender knows; empty if unknown.
struct UpstreamDescription {
  1: string upstream,
  2: string owner,
  3: string state,
  4: i32 allowance,
  5: list<ShardDescription> shards,
}

struct DescribeReply {
  1: list<UpstreamDescription> upstreams,
}

struct OrderCall {
  1: string request_id,
  2: string service_name,
  3: string upstream,
  4: string idempotency_key,
  5: binary body,
  6: i32 deadline_ms,
  7: i16 priority,
}

struct OrderAnswer {
  1: string error,
  2: string message,
  3: binary body,
}

struct VoterList {
  1: i64 revision,
  2: list<string> names,
}

// Owner leases. `incarnation` distinguishes the runs of an instance.
struct GrantRequest {
  1: string holder,
  2: i64 incarnation,
  3: i64 sequence,
  4: VoterList voters,
  5: list<string> upstreams,
}

struct Refusal {
  1: string upstream,
  2: string reason,
  3: string holder,
  4: double wait_ms,
}

struct GrantReply {
  1: string voter,
  2: i64 list_revision,
  3: string holder,
  4: i64 incarnation,
  5: i64 sequence,
  6: list<string> granted,
  7: list<Refusal> refused,
}

struct Release {
  1: string holder,
  2: i64 incarnation,
  3: i64 sequence,
  4: list<string> upstreams,
}

struct HandOver {
  1: string asker,
  2: list<string> upstreams,
}

struct Member {
  1: string name,
  2: i64 incarnation,
  3: string failure_domain,
  4: string peer_address,
  5: string http_address,
  6: string state,
  7: i64 config_revision,
  8: double load,
}

struct Report {
  1: Member member,
  2: double age_ms,
}

struct OrderWitness {
  1: i64 order_revision,
  2: string key,
  3: i64 mod_revision,
  4: i64 wall_ms,
}

struct OrderKnowledge {
  1: i64 floor,
  2: i64 regressed_from,
  3: OrderWitness witness,
}

// The reply to a heartbeat has the same form. Ages are in ms.
struct Heartbeat {
  1: Member sender,
  2: i64 list_revision,
  3: i64 settled_revision,
  4: bool is_list_confirmed,
  5: list<Report> reports,
  6: OrderKnowledge orders,
  7: double head_age_ms,
}
