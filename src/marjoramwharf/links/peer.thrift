/* Messages between entries, one Envelope in each length-prefixed frame. */

struct Hello {
  1: required string entry_id
  2: required string incarnation
  3: required string data_centre
  4: required i32 protocol_version
  5: required string nonce
  6: required string proof
}

struct SlotWant {
  1: required string worker_id
  2: required i32 slots_count
}

/* Asks an owner for slots. Either of named workers, or any of the owner's. */
struct Borrow {
  1: required string borrower
  2: required string incarnation
  3: required list<SlotWant> wants
  4: required i32 any_slots_count
  5: required string service_id
}

struct GrantMessage {
  1: required string grant_id
  2: required string worker_id
  3: required i64 epoch
  4: required i32 slots_count
  5: required i32 connections_count
  6: required i32 ttl_ms
}

struct Lent {
  1: required list<GrantMessage> grants
}

struct Renew {
  1: required string borrower
  2: required list<string> grant_ids
}

struct Renewed {
  1: required list<GrantMessage> renewed
  2: required list<string> refused
}

struct GrantShareMessage {
  1: required string grant_id
  2: required string worker_id
  3: required i32 slots_count
}

struct GiveBack {
  1: required string borrower
  2: required list<GrantShareMessage> shares
}

struct Ack {
}

/* The owner tells a borrower that grants are no longer valid. */
struct Revoke {
  1: required list<string> grant_ids
  2: required bool worker_leaving
}

struct WorkerSummary {
  1: required string worker_id
  2: required i32 free_slots_count
  3: required bool leaving
  4: required double service_latency_ms
  5: required double interference_ratio
}

struct Summary {
  1: required string entry_id
  2: required string incarnation
  3: required list<WorkerSummary> workers
  4: optional i64 free_millicores
}

struct Demand {
  1: required i32 cpu_millicores
  2: required i32 memory_mb
  3: required i32 accelerators_count
}

/* Asks a capacity owner to place a task attempt on one of its workers. */
struct Reserve {
  1: required string task_id
  2: required i32 attempt
  3: required Demand demand
  4: required string task_class
  5: required i32 priority
  6: required list<string> avoid_racks
  7: optional list<string> avoid_workers
  8: optional i64 shard_epoch
  9: optional Demand declared
}

struct Reserved {
  1: required string reservation_id
  2: required string worker_id
  3: required string worker_url
  4: required i64 epoch
}

struct Release {
  1: required string reservation_id
}

/* A job call that an entry passes on to the owner of the job's shard. */
struct JobCall {
  1: required string method
  2: required i32 shard
  3: required binary body
}

struct JobReply {
  1: required i32 status
  2: required binary body
}

struct TaskReportMessage {
  1: required string task_id
  2: required i64 shard_epoch
  3: required i64 attempt
  4: required string phase
  5: required i64 checkpoint
  6: required Demand demand
}

/* All tasks of the named job shards that a worker has reported. */
struct WorkerTasks {
  1: required string worker_id
  2: required list<i32> shards
  3: required list<TaskReportMessage> reports
}

/* Reports of tasks whose job shards the receiver owns. */
struct TaskReports {
  1: required list<WorkerTasks> workers
}

struct NoteHint {
  1: required i64 revision
}

struct Leaving {
  1: required string entry_id
}

struct Refusal {
  1: required string reason
  2: required string message
}

struct Envelope {
  1: required i64 call_id
  2: optional bool is_reply
  3: optional string traceparent
  4: optional Hello hello
  5: optional Borrow borrow
  6: optional Lent lent
  7: optional Renew renew
  8: optional Renewed renewed
  9: optional GiveBack give_back
  10: optional Ack ack
  11: optional Revoke revoke
  12: optional Summary summary
  13: optional Reserve reserve
  14: optional Reserved reserved
  15: optional Release release
  16: optional JobCall job_call
  17: optional JobReply job_reply
  18: optional NoteHint note_hint
  19: optional Leaving leaving
  20: optional Refusal refusal
  21: optional TaskReports task_reports
}
