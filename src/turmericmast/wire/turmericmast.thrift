// Messages between the processes of the system, and records on their disks.
// Field names equal those of the dataclasses that the codec maps them to.

namespace py turmericmast.wire.generated

/** One member of a group under the incarnation that may vote for it. */
struct Seat {
  1: string member
  2: string incarnation
  3: bool witness
  4: string domain = ""
}

/** What a member without state asks, and what every member answers. */
struct Probe {
  1: string member
  2: string incarnation
  3: bool formed
  4: bool question
  5: list<Seat> seats
  6: string domain = ""
}

/** A member of an open group that hears no leader asks for a seat. */
struct Join {
  1: string member
  2: string incarnation
  3: string domain
}

/** A candidate asks for a vote; ``trial`` asks without binding anyone. */
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

/** The answer to a vote request. */
struct VoteReply {
  1: i64 term
  2: string voter
  3: string incarnation
  4: bool granted
  5: bool trial
}

/** One record of the replicated log. */
struct Entry {
  1: i64 index
  2: i64 term
  3: i32 kind
  4: binary payload
  5: list<Seat> seats
}

/** The leader sends entries, or a heartbeat when there are none. */
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

/** The leader sends a snapshot to a member too far behind its log. */
struct Install {
  1: i64 term
  2: string leader
  3: double sent_at
  4: Snapshot snapshot
}

/** A member tells how far its log agrees with the leader's. */
struct AppendReply {
  1: i64 term
  2: string member
  3: string incarnation
  4: bool matched
  5: i64 index
  6: double sent_at
}

/** An entry starts, or starts again. */
struct OpenSession {
  1: string instance
  2: string incarnation
  3: string domain
  4: string http
}

/** An entry is about to stop: its targets go to others. */
struct LeaveSession {
  1: string instance
  2: i64 epoch
}

/** The lease of an entry is over, by its own word or by time. */
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

/** A target announced itself to an entry. */
struct PlaceTarget {
  1: TargetSpec spec
}

/** An owner sends a target no more work and has none in flight. */
struct ReleaseTarget {
  1: string target
  2: string instance
}

/** A target has been silent for long, or has left. */
struct WithdrawTarget {
  1: string target
  2: string instance
  3: string incarnation
}

/** Operators take something out, or return it. */
struct SetOutage {
  1: string change
  2: i32 kind
  3: string name
  4: bool out
  5: string reason
}

/** Operators change the fleet document. */
struct ProposeFleet {
  1: string change
  2: i64 base_version
  3: string base_digest
  4: string document
}

/** The group that orders changes has a newer document. */
struct AdoptFleet {
  1: i64 version
  2: string digest
  3: string document
  4: i64 accepted
}

/** A region tells which version every entry there has in force. */
struct ReportRegion {
  1: string region
  2: i64 version
}

/** A request ended in a lost target. */
struct Suspect {
  1: string fingerprint
  2: i64 started_ms
  3: i64 at_ms
}

/** A suspect request was answered: it does not crash its targets. */
struct Acquit {
  1: string fingerprint
}

/** Operators allow a request again. */
struct LiftQuarantine {
  1: string change
  2: string fingerprint
}

/** Entries of a region that own targets of a service. */
struct ServiceAddresses {
  1: string service_
  2: list<string> http
}

/** What other regions need to know of a region. */
struct RegionSummary {
  1: string region
  2: list<ServiceAddresses> services
}

/** Another region told where its services are. */
struct NoteSummary {
  1: RegionSummary summary
}

/** An entry is about to send a keyed request. */
struct Begin {
  1: string key
  2: string attempt
  3: string fingerprint
  4: i64 at_ms
  5: i64 expires_ms
  6: i64 retention_ms
}

/** One header line of a kept answer. */
struct Header {
  1: string name
  2: string content
}

/** The answer of a target, kept for those who ask again. */
struct KeptAnswer {
  1: i64 status
  2: string reason
  3: list<Header> headers
  4: binary body
  5: bool is_whole
}

/** The target answered. */
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

/** Drop records that nobody will ask for any more. */
struct Purge {
  1: i64 before_ms
}

/** An entry asks for its lease and for what changed. */
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

/** A target and the only entry that may send it work. */
struct Placement {
  1: TargetSpec spec
  2: string owner
  3: string successor
  4: bool wary
  5: i64 granted
  6: i64 changed
}

/** A record that is gone: a target, or the session of an entry. */
struct Removal {
  1: string target
  2: string instance
  3: i64 changed
}

/** Something that operators took out. */
struct Outage {
  1: i32 kind
  2: string name
  3: string reason
}

/** A request that ended in lost targets. */
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

/** What changed since an index; whole tables where they are small. */
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

/** The lease, and everything after the index the entry knew. */
struct Granted {
  1: i64 epoch
  2: i64 length_ms
  3: Feed feed
}

/** An entry wants to hear as soon as anything after an index changes. */
struct Watch {
  1: string instance
  2: i64 known
}

/** The command was committed; what it made, where it made something. */
struct Changed {
  1: optional Placement placement
  2: optional Suspicion suspicion
}

/** A region asks another one for news, and tells its own. */
struct Follow {
  1: string region
  2: i64 version
  3: i64 accepted
  4: i64 in_force
  5: RegionSummary summary
}

/** The answer: the summary, and the fleet document if it is newer. */
struct Followed {
  1: RegionSummary summary
  2: optional FleetRecord fleet
}

/** A rule refuses the request; asking again changes nothing. */
struct Refusal {
  1: string step
  2: string message
  3: string hint
}

/** The member asked cannot answer now: it does not lead, or lost touch. */
struct NotNow {
  1: string leader
  2: string message
}

/** The answer to a command: the verdict, and the kept answer if any. */
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

/** The answer that a change of the fleet document got. */
struct ChangeAnswer {
  1: string change
  2: FleetRecord record
}

/** A change of operators that was carried out. */
struct SeenChange {
  1: string change
  2: string text
}

/** The fleet version in force in a region. */
struct RegionInForce {
  1: string region
  2: i64 version
}

/** Everything that ``Region`` keeps. */
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

/** Everything that ``Ledger`` keeps. */
struct LedgerSnapshot {
  1: list<Record> records
}

/** A target as it described itself. */
struct TargetRecord {
  1: string target
  2: i64 born
  3: i64 sequence
  4: string service_
  5: string address
  6: string domain
  7: i32 slots
  8: string phase
}

/** An instance that serves callers. */
struct EdgeRecord {
  1: string instance
  2: string incarnation
  3: string address
  4: string domain
  5: string region
  6: string phase
  7: string peer = ""
}

/** What an edge knows of one target. */
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

/** News of load from one edge to others. */
struct LoadNews {
  1: string domain
  2: bool hand_on
  3: list<TargetLoad> loads
  4: list<string> started
  5: list<string> lost
}

/** One version of the route document; its text is compressed. */
struct RoutesRecord {
  1: i64 version
  2: string digest
  3: binary source
}

/** A request that targets crashed on. */
struct SuspectRecord {
  1: string fingerprint
  2: i64 crashes
  3: i64 until_ms
}

/** What changed after an index that a reader knew. */
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
}

/** A target that has left. */
struct Tombstone {
  1: string target
  2: i64 born
}

/** An accepted version of the routes. */
struct PastVersion {
  1: i64 version
  2: string digest
}

/** The whole cluster. */
struct ClusterSnapshot {
  1: i64 index
  2: RoutesRecord routes
  3: list<PastVersion> past
  4: list<string> evacuated
  5: list<TargetRecord> targets
  6: list<Tombstone> tombstones
  7: list<EdgeRecord> edges
  8: list<SuspectRecord> suspects
}

/** A target described itself in a new way. */
struct ReportTarget {
  1: TargetRecord record
}

/** Targets have left, or were silent for long. */
struct RemoveTargets {
  1: list<string> targets
}

/** An operator replaces the version ``base`` of the routes. */
struct ProposeRoutes {
  1: RoutesRecord routes
  2: i64 base
}

/** An operator empties a failure domain, or takes it back. */
struct SetEvacuation {
  1: string domain
  2: bool evacuated
}

/** An edge instance started, or changed its phase. */
struct SetEdge {
  1: EdgeRecord edge
}

/** Edge instances were silent for too long. */
struct DropEdges {
  1: list<string> instances
}

/** A target crashed while it ran a request. */
struct ReportCrash {
  1: string fingerprint
  2: i64 at_ms
}

/** The change was made against a version that is not in place. */
struct Conflict {
  1: string step
  2: string message
  3: string hint
}

/** An edge tells that it runs, and asks what changed after an index. */
struct WatchCluster {
  1: EdgeRecord edge
  2: i64 known
}

/** What changed, who the members are, and how fresh this member is. */
struct WatchedCluster {
  1: ClusterFeed feed
  2: list<Seat> seats
  3: i64 contact_ms
}

/** A member tells the leader whom it heard from. */
struct Heard {
  1: list<string> targets
  2: list<string> instances
}

/** A member asks the leader up to where the log is committed. */
struct AskIndex {
}

/** Up to where a log was known to be committed. */
struct CommitMark {
  1: i64 index
}

/** The answer of a leader whose lease holds. */
struct TellIndex {
  1: i64 index
}

/** Exactly one field is set. Numbers are never used again. */
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
}

/** One frame between two processes. */
struct Envelope {
  /** Not 0 when an answer is wanted. */
  1: i64 id
  /** The id of the envelope answered, else 0. */
  2: i64 answers
  /** Hybrid logical clock of the sender. */
  3: i64 clock
  4: string sender
  5: Body body
}
