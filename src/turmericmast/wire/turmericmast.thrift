// Messages between the processes of the system, and records on their disks.
// Each struct stands for the dataclass of the same name: wire/mapping.py needs
// the same fields in the same order (``service_`` stands for ``service``, which
// is a reserved word here).

namespace py turmericmast.wire.generated

/** A member of a group, and the incarnation of it that may vote. */
struct Seat {
  1: string member
  2: string incarnation
  3: bool witness
  4: string domain = ""
}

/** Bootstrap request of a member without state, and the answer to it. */
struct Probe {
  1: string member
  2: string incarnation
  3: bool formed
  4: bool question
  5: list<Seat> seats
  6: string domain = ""
}

/** A member without a leader requests to join a group with dynamic membership. */
struct Join {
  1: string member
  2: string incarnation
  3: string domain
}

/** A candidate requests a vote; a ``trial`` (pre-vote) binds nobody. */
struct VoteRequest {
  1: i64 term
  2: string candidate
  3: string incarnation
  4: i64 last_index
  5: i64 last_term
  6: bool trial
  7: bool handed_over
}

/** A leader that is about to stop names its successor. */
struct HandOver {
  1: i64 term
  2: string leader
}

/** The answer to a ``VoteRequest``. */
struct VoteReply {
  1: i64 term
  2: string voter
  3: string incarnation
  4: bool granted
  5: bool trial
}

/** An entry of the replicated log. */
struct Entry {
  1: i64 index
  2: i64 term
  3: i32 kind
  4: binary payload
  5: list<Seat> seats
}

/** Log entries from the leader; a heartbeat when there are none. */
struct Append {
  1: i64 term
  2: string leader
  3: i64 prev_index
  4: i64 prev_term
  5: i64 commit
  6: double sent_at
  7: list<Entry> entries
}

/** The state of the group up to and including ``index``. */
struct Snapshot {
  1: i64 index
  2: i64 term
  3: list<Seat> seats
  4: binary state
}

/** A snapshot from the leader, for a member that is too far behind its log. */
struct Install {
  1: i64 term
  2: string leader
  3: double sent_at
  4: Snapshot snapshot
}

/**
 * How far the log of a member matches the leader's.
 *
 * ``sent_at`` repeats the leader's clock in the message that is answered.
 */
struct AppendReply {
  1: i64 term
  2: string member
  3: string incarnation
  4: bool matched
  5: i64 index
  6: double sent_at
}

/** An entry has started or restarted. */
struct OpenSession {
  1: string instance
  2: string incarnation
  3: string domain
  4: string http
}

/** An entry is about to stop: its targets move to other entries. */
struct LeaveSession {
  1: string instance
  2: i64 epoch
}

/** The lease of an entry has ended: released (``clean``) or expired. */
struct CloseSession {
  1: string instance
  2: i64 epoch
  3: bool clean
}

/** The part of an announcement that seldom changes. */
struct TargetSpec {
  1: string target
  2: string service_
  3: string address
  4: string region
  5: string domain
  6: i64 slots
  7: i64 cold_slots
  8: string incarnation
}

/** A target has announced itself to an entry. */
struct PlaceTarget {
  1: TargetSpec spec
}

/** The owner of a target sends it no more requests and has none in flight. */
struct ReleaseTarget {
  1: string target
  2: string instance
}

/** A target has left, or has not announced itself for too long. */
struct WithdrawTarget {
  1: string target
  2: string instance
  3: string incarnation
}

/** Operators take a failure domain or a target out, or return it. */
struct SetOutage {
  1: string change
  2: i32 kind
  3: string name
  4: bool out
  5: string reason
}

/** Operators replace the fleet document. */
struct ProposeFleet {
  1: string change
  2: i64 base_version
  3: string base_digest
  4: string document
}

/** The ordering region has a newer fleet document. */
struct AdoptFleet {
  1: i64 version
  2: string digest
  3: string document
  4: i64 accepted
}

/** The fleet version that every entry of a region has in force. */
struct ReportRegion {
  1: string region
  2: i64 version
}

/** A request ended with the loss of its target. */
struct Suspect {
  1: string fingerprint
  2: i64 started_ms
  3: i64 at_ms
}

/** A suspect request was answered, so it does not crash its targets. */
struct Acquit {
  1: string fingerprint
}

/** Operators admit a quarantined request again. */
struct LiftQuarantine {
  1: string change
  2: string fingerprint
}

/** HTTP addresses of the entries of a region that own targets of a service. */
struct ServiceAddresses {
  1: string service_
  2: list<string> http
}

/** What other regions need to know of a region. */
struct RegionSummary {
  1: string region
  2: list<ServiceAddresses> services
}

/** Another region has reported where its services are. */
struct NoteSummary {
  1: RegionSummary summary
}

/** An entry is about to send a keyed request to a target. */
struct Begin {
  1: string key
  2: string attempt
  3: string fingerprint
  4: i64 at_ms
  5: i64 expires_ms
  6: i64 retention_ms
}

/** A header line of a kept answer. */
struct Header {
  1: string name
  2: string content
}

/** The answer of a target, kept for resends of its request. */
struct KeptAnswer {
  1: i64 status
  2: string reason
  3: list<Header> headers
  4: binary body
  5: bool is_whole
}

/** The target has answered the attempt. */
struct Settle {
  1: string key
  2: string attempt
  3: KeptAnswer answer
  4: i64 at_ms
  5: i64 retention_ms
}

/** The attempt provably did not run, and never will. */
struct GiveUp {
  1: string key
  2: string attempt
  3: string fingerprint
  4: i64 at_ms
  5: i64 retention_ms
}

/** Remove the records whose retention ended before a wall time. */
struct Purge {
  1: i64 before_ms
}

/** An entry renews its lease and requests all changes after an index. */
struct Renew {
  1: string instance
  2: string incarnation
  3: i64 epoch
  4: string domain
  5: string http
  6: i64 known
  7: i64 in_force
}

/** An entry that holds, or may hold, a lease. */
struct Session {
  1: string instance
  2: string incarnation
  3: i64 epoch
  4: string domain
  5: string http
  6: i32 phase
  7: i64 changed
}

/** A target and the only entry that may send it requests. */
struct Placement {
  1: TargetSpec spec
  2: string owner
  3: string successor
  4: bool wary
  5: i64 granted
  6: i64 changed
}

/** A removed record: a target, or the session of an entry. */
struct Removal {
  1: string target
  2: string instance
  3: i64 changed
}

/** A failure domain or a target that operators took out. */
struct Outage {
  1: i32 kind
  2: string name
  3: string reason
}

/** A request that ended with the loss of targets, and how many. */
struct Suspicion {
  1: string fingerprint
  2: i64 crashes
  3: i64 last_ms
  4: i64 until_ms
}

/** The fleet document as a region has it. */
struct FleetRecord {
  1: i64 version
  2: string digest
  3: string document
  4: i64 accepted
}

/** The changes since an index; small tables are sent whole. */
struct Feed {
  1: i64 index
  2: bool complete
  3: list<Session> sessions
  4: list<Placement> placements
  5: list<Removal> removals
  6: bool has_tables
  7: list<Outage> outages
  8: list<Suspicion> suspicions
  9: list<RegionSummary> summaries
  10: optional FleetRecord fleet
}

/** The lease, and all changes after the index that the entry knew. */
struct Granted {
  1: i64 epoch
  2: i64 length_ms
  3: Feed feed
}

/**
 * Long poll of an entry: answered once anything changes after an index,
 * or after a time limit.
 */
struct Watch {
  1: string instance
  2: i64 known
}

/** The command was committed; the record that it created, if any. */
struct Changed {
  1: optional Placement placement
  2: optional Suspicion suspicion
}

/** A region requests the state of another region and reports its own. */
struct Follow {
  1: string region
  2: i64 version
  3: i64 accepted
  4: i64 in_force
  5: RegionSummary summary
}

/** The other region's summary, and its fleet document if that is newer. */
struct Followed {
  1: RegionSummary summary
  2: optional FleetRecord fleet
}

/** A rule rejects the request; a retry would be rejected, too. */
struct Refusal {
  1: string step
  2: string message
  3: string hint
}

/** The member is not the leader, or has lost contact to its group. */
struct NotNow {
  1: string leader
  2: string message
}

/** The answer to a ledger command: the verdict, and the kept answer if any. */
struct Standing {
  1: i32 verdict
  2: optional KeptAnswer answer
}

/** The vote of a member in its current term, kept across restarts. */
struct Vote {
  1: i64 term
  2: string voted_for
  3: string incarnation
}

/** The answer to a change of the fleet document, kept for resends. */
struct ChangeAnswer {
  1: string change
  2: FleetRecord record
}

/** A change of operators that was carried out, kept to recognise resends. */
struct SeenChange {
  1: string change
  2: string text
}

/** The fleet version in force in a region. */
struct RegionInForce {
  1: string region
  2: i64 version
}

/** The whole state of ``Region``. */
struct RegionSnapshot {
  1: Feed feed
  2: list<Removal> removals
  3: i64 forgotten
  4: i64 tables_changed
  5: i64 fleet_changed
  6: list<ChangeAnswer> answers
  7: list<SeenChange> seen
  8: list<RegionInForce> in_force
  9: string change
}

/** A keyed request and its attempt. */
struct Record {
  1: string key
  2: string attempt
  3: i32 state
  4: string fingerprint
  5: i64 expires_ms
  6: i64 keep_until_ms
  7: optional KeptAnswer answer
}

/** The whole state of ``Ledger``. */
struct LedgerSnapshot {
  1: list<Record> records
}

/** A target as it last reported itself. */
struct TargetRecord {
  1: string target
  2: i64 born
  3: i64 sequence
  4: string service_
  5: string address
  6: string domain
  7: i32 slots
  8: string phase
  120: string version = ""
}

/** What is known of the versions of a service, and its newest rollout. */
struct ServiceRollout {
  1: string service_
  2: string current
  3: string state
  4: string target_version
  5: i64 order
  6: i64 duration_ms
  7: i32 share
  8: i64 elapsed_ms
  9: string reason
  10: list<string> rejected
}

/** Responses of one route at one instance, by targets of one version. */
struct VersionCounts {
  1: string service_
  2: i64 order
  3: string route
  4: bool is_new
  5: i64 responses
  6: i64 failures
  7: list<i64> latencies
}

/** The counts of one instance, from which the core judges a version. */
struct EdgeEvidence {
  1: string instance
  2: string incarnation
  3: list<VersionCounts> counts
}

/** An edge instance, which serves callers. */
struct EdgeRecord {
  1: string instance
  2: string incarnation
  3: string address
  4: string domain
  5: string region
  6: string phase
  7: string peer = ""
  8: string reach = "direct"
}

/** The load of a target as an edge knows it, with its age. */
struct TargetLoad {
  1: string target
  2: i32 age_ms
  3: i32 running
  4: i32 waiting
  5: i32 slots
  6: i32 slowness_percent
  7: i32 proof_age_ms
  8: i32 cold_ms
}

/** That one incarnation of a target is leaving. */
struct TargetDeparture {
  1: string target
  2: i64 born
  3: i64 age_ms
}

/** Load reports from one edge to others (gossip). */
struct LoadNews {
  1: string domain
  2: bool hand_on
  3: list<TargetLoad> loads
  4: list<string> started
  5: list<string> lost
  6: list<TargetDeparture> leaving = []
}

/** A version of the route document; ``source`` is compressed. */
struct RoutesRecord {
  1: i64 version
  2: string digest
  3: binary source
}

/** A request on which targets crashed. */
struct SuspectRecord {
  1: string fingerprint
  2: i64 crashes
  3: i64 until_ms
}

/** The changes after an index that the reader knew. */
struct ClusterFeed {
  1: i64 index
  2: bool complete
  3: optional RoutesRecord routes
  4: list<string> evacuated
  5: list<TargetRecord> targets
  6: list<string> removed_targets
  7: list<EdgeRecord> edges
  8: list<string> removed_edges
  9: list<SuspectRecord> suspects
  30: list<ServiceRollout> rollouts = []
}

/** A target that has left; late reports of that start are ignored. */
struct Tombstone {
  1: string target
  2: i64 born
}

/** An accepted version of the routes, kept to answer resends alike. */
struct PastVersion {
  1: i64 version
  2: string digest
}

/** The whole state of the cluster. */
struct ClusterSnapshot {
  1: i64 index
  2: RoutesRecord routes
  3: list<PastVersion> past
  4: list<string> evacuated
  5: list<TargetRecord> targets
  6: list<Tombstone> tombstones
  7: list<EdgeRecord> edges
  8: list<SuspectRecord> suspects
  30: list<ServiceRollout> rollouts = []
}

/** A target has started, or its report has changed. */
struct ReportTarget {
  1: TargetRecord record
}

/** Targets have left, or have not reported for too long. */
struct RemoveTargets {
  1: list<string> targets
}

/** An operator replaces version ``base`` of the routes. */
struct ProposeRoutes {
  1: RoutesRecord routes
  2: i64 base
}

/** An operator evacuates a failure domain, or returns it to service. */
struct SetEvacuation {
  1: string domain
  2: bool evacuated
}

/** An operator orders to move a service to the targets of a version. */
struct OrderRollout {
  1: string service_
  2: string target_version
  3: i64 duration_ms
}

/** The leader decides about the share or the outcome of a rollout. */
struct DecideRollout {
  1: string service_
  2: i64 order
  3: string state
  4: i32 share
  5: i64 elapsed_ms
  6: string reason
}

/** An edge instance has started, or its phase has changed. */
struct SetEdge {
  1: EdgeRecord edge
}

/** Edge instances have not reported for too long. */
struct DropEdges {
  1: list<string> instances
}

/** A target crashed while it ran a request. */
struct ReportCrash {
  1: string fingerprint
  2: i64 at_ms
}

/** The change is based on a version that is no longer current. */
struct Conflict {
  1: string step
  2: string message
  3: string hint
}

/** The order may have been sent before a later one that it would undo. */
struct Overtaken {
  1: i64 index
}

/** An edge reports that it runs and requests all changes after an index. */
struct WatchCluster {
  1: EdgeRecord edge
  2: i64 known
  3: bool packed = false
  30: list<VersionCounts> evidence = []
  37: optional i64 asked_ms
}

/** The changes, the core group's members, and the answer's staleness. */
struct WatchedCluster {
  1: ClusterFeed feed
  2: list<Seat> seats
  3: i64 contact_ms
  37: optional i64 proof_ms
  38: optional i64 asked_ms
}

/** Like ``WatchedCluster``; ``feed`` is a compressed ``ClusterFeed``. */
struct PackedCluster {
  1: binary feed
  2: list<Seat> seats
  3: i64 contact_ms
  34: optional bool grants_tokens = false
  37: optional i64 proof_ms
  38: optional i64 asked_ms
}

/** A starting edge asks which member is in its failure domain. */
struct AskMember {
  1: string domain
}

/** The answer to ``AskMember``; empty while no member is there. */
struct TellMember {
  1: string member
}

/** A member tells the leader who reported to it since its last message. */
struct Heard {
  1: list<string> targets
  2: list<string> instances
  120: string rollout_member = ""
}

/** A member tells the leader what instances counted during rollouts. */
struct HeardEvidence {
  1: list<EdgeEvidence> evidence
}

/** A member requests the leader's commit index. */
struct AskIndex {
}

/** The index up to which a log was known to be committed. */
struct CommitMark {
  1: i64 index
}

/**
 * The commit index of the member that answers. Only a leader whose lease holds
 * answers ``AskIndex``. As the answer to ``ChangeCluster``, the index covers
 * the change.
 */
struct TellIndex {
  1: i64 index
}

/** Tokens of one account that an edge asks for and gives back. */
struct TokenDemand {
  1: string account
  2: i32 needed
  3: i32 spare
  4: i32 returned
}

/** The answer to a ``TokenDemand``. */
struct TokenGrant {
  1: i32 tokens
  2: i32 wait_ms
  3: bool filling
}

/** An edge asks a member for tokens, or a member asks the leader. */
struct AskTokens {
  1: list<TokenDemand> demands
  2: bool relayed
}

/** The answer to ``AskTokens``, one grant for each demand in its order. */
struct TellTokens {
  1: list<TokenGrant> grants
}

/**
 * A message or a stored record: exactly one field is set. The numbers of
 * removed fields are never reused.
 */
struct Body {
  1: optional Probe probe
  2: optional VoteRequest vote_request
  3: optional HandOver hand_over
  4: optional VoteReply vote_reply
  5: optional Append append
  6: optional Install install
  7: optional AppendReply append_reply
  8: optional OpenSession open_session
  9: optional LeaveSession leave_session
  10: optional CloseSession close_session
  11: optional PlaceTarget place_target
  12: optional ReleaseTarget release_target
  13: optional WithdrawTarget withdraw_target
  14: optional SetOutage set_outage
  15: optional ProposeFleet propose_fleet
  16: optional AdoptFleet adopt_fleet
  17: optional ReportRegion report_region
  18: optional Suspect suspect
  19: optional Acquit acquit
  20: optional LiftQuarantine lift_quarantine
  21: optional NoteSummary note_summary
  22: optional Begin begin
  23: optional Settle settle
  24: optional GiveUp give_up
  25: optional Purge purge
  26: optional Renew renew
  27: optional Granted granted
  28: optional Watch watch
  29: optional ChangeRegion change_region
  30: optional Changed changed
  31: optional ChangeLedger change_ledger
  32: optional Follow follow
  33: optional Followed followed
  34: optional Refusal refusal
  35: optional NotNow not_now
  36: optional Standing standing
  37: optional Entry entry
  38: optional Snapshot snapshot
  39: optional Vote vote
  40: optional RegionSnapshot region_snapshot
  41: optional LedgerSnapshot ledger_snapshot
  42: optional Join join
  43: optional ReportTarget report_target
  44: optional RemoveTargets remove_targets
  45: optional ProposeRoutes propose_routes
  46: optional SetEvacuation set_evacuation
  47: optional SetEdge set_edge
  48: optional DropEdges drop_edges
  49: optional ClusterSnapshot cluster_snapshot
  50: optional Conflict conflict
  51: optional ChangeCluster change_cluster
  52: optional WatchCluster watch_cluster
  53: optional WatchedCluster watched_cluster
  54: optional Heard heard
  55: optional AskIndex ask_index
  56: optional TellIndex tell_index
  57: optional CommitMark commit_mark
  58: optional LoadNews load_news
  59: optional ReportCrash report_crash
  60: optional ClusterFeed cluster_feed
  61: optional PackedCluster packed_cluster
  62: optional AskMember ask_member
  63: optional TellMember tell_member
  64: optional Overtaken overtaken
  120: optional OrderRollout order_rollout
  121: optional DecideRollout decide_rollout
  122: optional HeardEvidence heard_evidence
  140: optional AskTokens ask_tokens
  141: optional TellTokens tell_tokens
}

/** A command for the control group. */
struct ChangeRegion {
  1: Body command
  2: bool in_force
}

/** A command for the ledger group. */
struct ChangeLedger {
  1: Body command
}

/** A command for the core group. */
struct ChangeCluster {
  1: Body command
  2: optional i64 known
}

/** The content of one frame between two processes. */
struct Envelope {
  /** Id of a request; 0 when no answer is wanted. */
  1: i64 id
  /** Id of the request that this message answers, else 0. */
  2: i64 answers
  /** Packed stamp of the sender's hybrid logical clock. */
  3: i64 clock
  /** Name of the sending process. */
  4: string sender
  5: Body body
}
