// Messages between traystall's own processes. Regenerate with:
//   thrift --gen py:slots -out traystall/rpc/gen traystall/rpc/traystall.thrift
// Times are in seconds on no particular clock unless a field says otherwise.
// A field is required where every release has always sent it; a message without one is refused.
namespace py wire

enum Method {
  HELLO = 1
  VOTE_REQUEST = 2
  VOTE_REPLY = 3
  APPEND_REQUEST = 4
  APPEND_REPLY = 5
  SNAPSHOT_CHUNK = 6
  SNAPSHOT_REPLY = 7
  TIMEOUT_NOW = 8
  PROBE = 10
  APPLY = 11
  STATUS = 12
  WATCH = 13
  DIGEST = 14
  CLAIM = 15
  SETTLE = 16
  RELEASE = 17
  MEMBERS = 18
  HOLD_RESULT = 19
  FETCH_RESULT = 20
  HANDOVER = 21
  BORROW = 22
  REGISTRY = 23
  STAGE = 24
  STAGE_CANCEL = 25
  PING = 26
  JOIN = 27
  READ = 28
  STAGE_FREED = 29
  PLACE = 30
  PLACE_NOTE = 31
  EVACUATE = 32
  TRANSFER = 33
  REPORT_RUNS = 34
  TRIAL = 35
  LIFT = 36
  PERMIT = 37
  PERMIT_RETURN = 38
  LIMIT_NEWS = 39
  ENTRY_PART = 40
  ENTRY_PART_REPLY = 41
  TUNNEL = 42
  STREAM_ORIGINS = 43
  FIND_STREAM = 44
}

// One framed exchange. call_id 0 means that no reply is expected.
struct Frame {
  1: required i64 call_id
  2: required i32 method
  3: required bool reply
  4: binary body
  5: string error
  6: string detail
}

struct Hello {
  1: required string cluster
  2: required string role
  3: required i32 protocol
  4: required string sender
  5: binary nonce
  6: binary signature
}

struct HelloReply { 1: bool accepted, 2: string reason, 3: string sender }

// ---- consensus ----
struct LogEntry { 1: required i64 index, 2: required i64 term, 3: required i32 kind, 4: required binary command }

struct VoteRequest {
  1: required string group, 2: required string to, 3: required string sender, 4: required i64 term
  5: required i64 last_index, 6: required i64 last_term, 7: required bool pre_vote, 8: required bool handover
  20: string sender_address
}
struct VoteReply {
  1: required string group, 2: required string to, 3: required string sender, 4: required i64 term
  5: required bool granted, 6: required bool pre_vote
}
struct AppendRequest {
  1: required string group, 2: required string to, 3: required string sender, 4: required i64 term
  5: required i64 prev_index, 6: required i64 prev_term, 7: required list<LogEntry> entries
  8: required i64 commit, 9: required i64 round
  20: string sender_address
}
struct AppendReply {
  1: required string group, 2: required string to, 3: required string sender, 4: required i64 term
  5: required bool success, 6: required i64 match_index, 7: required i64 hint_index, 8: required i64 round
  // Whether the sender takes entries in parts: one that doesn't would end the link on which it gets one.
  9: bool takes_parts
}
// A part of an entry that is too large for one message. The entry (index, entry_term) is the same
// whichever leader sends it; put together, it is appended as by an AppendRequest with these fields.
struct EntryPart {
  1: required string group, 2: required string to, 3: required string sender, 4: required i64 term
  5: required i64 prev_term, 6: required i64 index, 7: required i64 entry_term, 8: required i32 kind
  9: required i64 offset, 10: required binary data, 11: required i64 size
  12: required i64 commit, 13: required i64 round
  20: string sender_address
}
// How many bytes of the entry are held.
struct EntryPartReply {
  1: required string group, 2: required string to, 3: required string sender, 4: required i64 term
  5: required i64 index, 6: required i64 entry_term, 7: required i64 offset, 8: required i64 round
}
struct SnapshotChunk {
  1: required string group, 2: required string to, 3: required string sender, 4: required i64 term
  5: required i64 index, 6: required i64 index_term, 7: required binary members
  8: required i64 offset, 9: required binary data, 10: required bool last, 11: required i64 round
  20: string sender_address
}
struct SnapshotReply {
  1: required string group, 2: required string to, 3: required string sender, 4: required i64 term
  5: required i64 index, 6: required i64 offset, 7: required bool installed, 8: required i64 round
}
struct TimeoutNow { 1: required string group, 2: required string to, 3: required string sender, 4: required i64 term }

// ---- formation and members ----
struct ProbeRequest { 1: string instance }
struct Member { 1: required string identity, 2: string address, 3: string data_centre, 4: bool voter }
struct ProbeReply {
  1: required string identity, 2: bool empty, 3: string leader, 4: list<Member> members, 5: i64 term
}
struct MembersRequest { 1: required string action, 2: Member member, 3: string replaces, 4: string token }
struct MembersReply { 1: list<Member> members, 2: string leader, 3: i64 commit, 4: map<string, i64> matched, 5: bool done }
struct HandoverRequest { 1: string token }
struct HandoverReply { 1: string leader }

// ---- catalog ----
struct ApplyRequest {
  1: required i64 number, 2: required binary digest, 3: map<string, binary> entities
  4: string operator, 5: string token
}
struct ApplyReply {
  1: string outcome, 2: i64 number, 3: binary digest, 4: string winner, 5: i64 current, 6: bool resent
}
struct GatewayRecord {
  1: required string identity, 2: required string instance, 3: required string data_centre, 4: required string address
  5: required string rpc_address, 6: i64 number, 7: string state, 8: double age
  // Targets that this gateway knows to be leaving, as name@incarnation.
  9: list<string> leaving
  // Seconds since it started.
  10: double uptime
  // The version of the evacuations that it obeys.
  11: i64 evacuation_version
  // Whether it knows permits: one that doesn't would end the link on which it is asked.
  12: bool lends
  // How much it can do beside others; 0 where it doesn't say.
  13: double size
  // Whether it keeps the origins of streams for other gateways.
  14: bool keeps_streams
}
// A request under which targets have ended, by its digest: how many did, and how many seconds it stays
// refused, if it is.
struct SuspectRecord {
  1: required binary digest, 2: string customer, 3: string route, 4: i32 ends, 5: double refused
}
// A prompt part on which targets have ended, and whether requests with it run only as trials.
struct SuspectPartRecord { 1: required binary digest, 2: i32 ends, 3: bool restricted }
// Requests that hold all of these parts are refused for so many seconds if they are of `customers`, or of
// anyone if it is final.
struct RefusedPartsRecord {
  1: required list<binary> digests, 2: list<string> customers, 3: double seconds, 4: bool final
}
// What changed among the suspects since the version that the watcher knows, or all of them if full.
struct Suspects {
  1: i64 version, 2: bool full, 3: list<SuspectRecord> changed, 4: list<binary> removed
  // Absent from a daemon that counts no prompt parts.
  5: list<SuspectPartRecord> parts
  // All of them, also if not full.
  6: list<RefusedPartsRecord> refused_parts
}
struct WatchRequest {
  1: GatewayRecord gateway, 2: binary digest, 3: i64 directory_version
  // The most bytes of changed entities that the reply may carry; more is offered. None: any.
  4: i64 inline_bytes
  // The version known of the directory and the life of the control daemon that told it. A daemon
  // that doesn't know these fields goes by `directory_version`, and sends the whole.
  10: string directory_epoch, 11: i64 directory_known
  // Whether only the configuration is asked for, whatever is new in the directory.
  12: bool without_directory
  // The version known of the suspects.
  13: i64 suspects_version
}
// A packed delta or full copy that is fetched in chunks: its digest and size in bytes.
struct Offer { 1: required binary digest, 2: required i64 size }
// What is evacuated at a version; a higher version replaces all of a lower one.
struct Evacuated { 1: i64 version, 2: list<string> data_centres }
struct WatchReply {
  1: i64 number, 2: binary digest, 3: bool full, 4: binary base
  5: map<string, binary> puts, 6: list<string> deletes
  7: i64 directory_version, 8: list<GatewayRecord> directory, 9: bool fresh
  10: Evacuated evacuated
  // In place of puts and deletes, where these are larger than the watcher takes.
  11: Offer offer
  // The directory either whole in field 8, or as what changed since `directory_base` of this life
  // of the control daemon, with a check of what must be listed once that is applied.
  20: string directory_epoch, 21: i64 directory_base
  22: list<GatewayRecord> directory_changed, 23: list<string> directory_dropped
  24: i64 directory_check
  30: Suspects suspects
}
// Ask for a part of what was offered. Who does not hold it makes it of base and result again.
struct TransferRequest {
  1: GatewayRecord gateway, 2: binary base, 3: required binary result, 4: required binary digest
  5: required i64 offset, 6: required i64 length
}
// Not known: another revision is in force there, or it packs otherwise.
struct TransferReply { 1: bool known, 2: binary data }
struct DigestRequest { 1: string sender, 2: list<GatewayRecord> gateways }
struct DigestReply { 1: list<GatewayRecord> gateways }
// Who ordered it, and how many seconds ago by the time of the log.
struct EvacuationRecord { 1: string data_centre, 2: string operator, 3: i64 version, 4: double age }
struct StatusRequest { 1: string token }
struct StatusReply {
  1: string identity, 2: string leader, 3: i64 term, 4: i64 commit, 5: i64 number, 6: binary digest
  7: list<GatewayRecord> gateways, 8: list<Member> members, 9: bool lease
  10: list<string> doubtful, 11: i64 claims
  12: i64 evacuation_version, 13: list<EvacuationRecord> evacuations
  14: list<SuspectDetail> suspects
}
// A suspect as operators see it; ages in seconds by the time of the log.
struct SuspectDetail {
  1: binary digest, 2: string customer, 3: string route, 4: string pool, 5: i32 ends, 6: double refused
  7: string evidence, 8: double age, 9: double last_age, 10: list<string> lives, 11: i32 trials
  // Whether it is a part of prompts rather than a request.
  12: bool part
}
// ---- evacuations of data centres ----
struct EvacuateRequest { 1: string data_centre, 2: bool evacuated, 3: string operator, 4: string token }
struct EvacuateReply { 1: bool changed, 2: Evacuated evacuated }

// ---- requests under which targets have ended ----
struct EndedRun {
  1: required binary digest, 2: string customer, 3: string route, 4: string pool, 5: string life
  6: string evidence, 7: string trial
  // Digests of the shared parts of its prompt, if its target had sent no event.
  8: list<binary> parts
}
// A target that leaves, and whether it has announced its end; `started` as in TargetRecord.
struct DepartureRecord { 1: required string identity, 2: bool gone, 3: i64 started }
struct ReportRunsRequest {
  1: list<EndedRun> ended, 2: list<binary> served, 3: list<string> released
  // Digests of prompt parts on which a target has written an event.
  4: list<binary> served_parts
  // Targets that announced that they leave. They are sent with this call since earlier releases
  // skip unknown fields, but close the link after an unknown method.
  5: list<DepartureRecord> departures
}
// `departures_kept` is absent in replies of releases that don't keep departures.
struct ReportRunsReply { 1: i64 version, 2: bool departures_kept }
// With `parts`, the question is about these parts of its prompt.
struct TrialRequest { 1: required binary digest, 2: required string trial, 3: list<binary> parts, 4: string customer }
struct TrialReply { 1: string verdict, 2: double seconds }
struct LiftRequest { 1: binary digest, 2: string operator, 3: string token }
struct LiftReply { 1: bool lifted }

// ---- ledger ----
struct ClaimRequest {
  1: required string customer, 2: required string key, 3: required binary fingerprint, 4: required string claim_id
  5: required string claimant, 6: required double retention, 7: string stage
}
struct ClaimReply {
  1: string outcome, 2: string claim_id, 3: string claimant, 4: bool claimant_alive
  5: binary digest, 6: list<string> holders
}
struct SettleRequest {
  1: required string customer, 2: required string key, 3: required string claim_id, 4: required binary digest, 5: list<string> holders
}
struct SettleReply { 1: string outcome }
struct ReleaseRequest { 1: required string customer, 2: required string key, 3: required string claim_id }
struct ReleaseReply { 1: string outcome }

// ---- customers' limits between gateways of one data centre ----
struct BorrowRequest { 1: required string customer, 2: required double tokens, 3: required i32 permits }
struct BorrowReply { 1: required double tokens, 2: required i32 permits, 3: required double seconds }

// ---- kept results between gateways of a customer's data centres ----
struct HoldResultRequest { 1: required string claim_id, 2: required string customer, 3: required binary result, 4: required double retention }
struct HoldResultReply { 1: bool held }
struct FetchResultRequest { 1: required string claim_id, 2: required string customer, 3: required string data_centre }
struct FetchResultReply { 1: bool found, 2: binary result }

// ---- targets that register themselves ----
struct TargetRecord {
  1: required string identity, 2: string pool, 3: string address, 4: string data_centre
  5: string version, 6: i32 slots, 7: required string state, 8: i64 sequence
  // Seconds of slow start left, and seconds since the target's last own report.
  9: double warming, 10: double age
  // When this life began, in Unix milliseconds; 0 if that is not known.
  11: i64 started
}
// A watch of one registry: `epoch` names the life of the registry, `version` what is known of it.
// `number` is the newest revision of the configuration that the watcher holds, or that is known.
struct RegistryRequest {
  1: string sender, 2: required string epoch, 3: required i64 version, 4: i64 number, 5: i64 evacuation_version
  // Seconds since this registry last told its ages; absent, they are told with each reply.
  10: double ages_told
  // The version known of the suspects; absent, they are not told.
  11: i64 suspects_version
}
struct RegistryReply {
  1: required string epoch, 2: required i64 version, 3: list<TargetRecord> targets
  4: map<string, double> ages, 5: list<Member> members, 6: i64 number, 7: Evacuated evacuated
  8: Suspects suspects
}

// ---- pieces of stages, gathered by one gateway a pool ----
struct StageRequest {
  1: required string pool, 2: required string request_id, 3: required i32 stage, 4: required list<i32> pieces
  5: string key, 6: list<string> inputs, 7: required double seconds_left, 8: i32 priority
  9: i64 result_bytes, 10: required string call_id, 11: double seconds_to_start
  // Where the results will be read.
  12: string data_centre
  // What the request will ask for in all, and what is the same when its caller tries again.
  13: string route, 14: list<i32> counts, 15: string mark
  // Data centres in which the results may be; none means anywhere.
  16: list<string> places
  // Whether it should be refused at once rather than wait a moment to be let in.
  17: bool refuse_at_once
  // What crosses data centres if a piece is made elsewhere, in bytes.
  18: i64 away_bytes
  // Whether its pieces are made in calls of their own, because targets have ended under its request.
  19: bool alone
  // Who asks; empty where the sender doesn't say.
  20: string customer
  // How long the queues of the shared pools were where its sender asked last, in seconds by pool, and
  // how many seconds ago that was told: a gateway that takes over doesn't begin blind.
  21: map<string, double> waits, 22: double waits_age
}
// `ended` names the lives of targets that ended while they made pieces of this call; `waits` tells
// how long the queues of the shared pools are, in seconds by pool.
struct StageReply {
  1: list<string> handles, 2: list<string> reasons, 3: double retry_after, 4: list<string> ended
  5: map<string, double> waits
  // How long the last of its pieces waited for a call, and how long that call took, in seconds.
  6: double waited, 7: double called
}
struct StageCancel { 1: required string call_id, 2: required string request_id }
// Results that were given up, told to the gateway that counts the room of their makers.
struct StageFreed { 1: required string pool, 2: required list<string> handles }
// An engine for a prompt, chosen by one gateway for all; what became of it.
struct PlaceRequest {
  1: required string pool, 2: required string request_id, 3: required list<string> parts, 4: required list<i64> sizes, 5: required i64 tokens
  6: string data_centre, 7: i64 input_bytes, 8: list<string> excluded, 9: bool book
  10: list<string> places
}
struct PlaceReply { 1: string identity }
struct PlaceNote { 1: required string pool, 2: required string request_id, 3: required string what }
// Asks a gateway to connect to a target it knows under this identity and address. After a reply without
// an error the connection carries the bytes exchanged with the target, and no messages any more. If both
// say framed, those from the target come in frames whose end mark tells that the target has closed.
struct TunnelRequest { 1: required string target, 2: required string address, 3: bool framed }
struct TunnelReply { 1: string identity, 2: bool framed }
struct PingRequest { 1: string sender }
struct PingReply { 1: string identity }

// ---- what targets take from all gateways together ----
// What is known of one life of a target: how many requests a second it takes (absent: any number),
// and how many seconds ago the request was sent whose answer said so.
struct TargetLimitRecord { 1: required string life, 2: double per_second, 3: double age }
// Ask for one request to a target, to be sent within `patience` seconds; `spare` marks what may as
// well be left out.
struct PermitRequest {
  1: string sender, 2: required TargetLimitRecord known, 3: string data_centre, 4: double patience, 5: bool spare
  // A place at a brittle target instead: how many it has, what names this one, and how many seconds it
  // may be held. `known` then tells of the target's brittleness.
  6: i32 places, 7: string lease, 8: double seconds
}
// `lends` is false where another gateway lends for this target. Granted, the request may be sent
// from `wait` seconds on; else that is when the next may, and askers come back spread over `spread`.
struct PermitReply {
  1: required bool lends, 2: required bool granted, 3: double wait, 4: double spread, 5: required TargetLimitRecord known
}
// A permit that is not used, for a moment in so many seconds; or the name of a place that is free again.
struct PermitReturn { 1: required string life, 2: double left, 3: string lease }
// `brittle` tells how many rejections a second brittle targets bear.
struct LimitNews { 1: string sender, 2: list<TargetLimitRecord> limits, 3: list<TargetLimitRecord> brittle }

// ---- software versions that began streams ----
// The pool and software version of the targets that wrote a stream, by a keyed digest of its customer and
// first request. No version: it is ambiguous, and the stream can't be continued.
// `ages` holds the incarnations of these targets, and the seconds since the first event of each.
struct StreamOrigin {
  1: required binary digest, 2: required string pool, 3: string version, 4: required double seconds_left
  5: map<string, double> ages
}
struct StreamOriginsRequest { 1: string sender, 2: required list<StreamOrigin> origins }
struct StreamOriginsReply { 1: i32 taken }
// Ask for the origin of a stream that may have begun up to `seconds` ago. Without it, `only_version` is the
// version of all targets known in `pools` in that time, absent if there were several or it is not certain.
struct FindStreamRequest { 1: required binary digest, 2: list<string> pools, 3: double seconds }
struct FindStreamReply { 1: StreamOrigin origin, 2: string only_version }

// ---- members that come by themselves, reads of the configuration ----
struct JoinRequest { 1: required Member member }
struct JoinReply { 1: string outcome, 2: list<Member> members }
struct ReadRequest { 1: string sender }
struct ReadReply { 1: i64 number, 2: binary digest, 3: map<string, binary> entities }
