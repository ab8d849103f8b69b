package metrics

// The labels of families of counters.
const (
	LabelClass    = "CLASS"    // a request class of the settings
	LabelVerdict  = "VERDICT"  // the kind of a final response
	LabelReason   = "REASON"   // why a request was rejected
	LabelRule     = "RULE"     // an invariant
	LabelStatus   = "STATUS"   // how an attempt or a connection to an engine ended
	LabelCause    = "CAUSE"    // why a client connection ended
	LabelSQLState = "SQLSTATE" // a PostgreSQL error code
)

// Counters of requests.
var (
	RequestsAccepted = declareVec("requests.accepted", LabelClass,
		"Requests that have arrived completely; each gets one final response, unless its client disconnects first.")
	RequestsCompleted = declareVec2("requests.completed", LabelVerdict, LabelClass,
		"Requests that got their final response.")
	RequestsCompletedLate = declareVec("requests.completed-late", LabelClass,
		"Rejected or failed requests whose deadline had passed or was about to pass.")
	RequestsDisconnected = declareVec("requests.disconnected", LabelClass,
		"Requests whose client cancelled or closed its connection before the response.")
	Rejections = declareVec("rejections", LabelReason,
		"Requests rejected by the balancer, or during a graceful shutdown.")
	InvariantsViolated = declareVec("invariants.violated", LabelRule,
		"Violations of an invariant, prevented or not.")
)

// RejectionsShutdown counts the requests that arrive after Dispatcher.CompleteAll. Requests that were pending
// at that time are counted under the balancer's reason, if they are rejected.
var RejectionsShutdown = Rejections.With("shutdown")

// Counters of attempts.
var (
	AttemptsStarted = declareVec("attempts.started", LabelClass,
		"Attempts started.")
	AttemptsRetried = declareVec("attempts.retried", LabelClass,
		"Retries started: attempts after the first one of their request.")
	AttemptsEnded = declareVec("attempts.ended", LabelStatus,
		"Attempts ended.")
	AttemptsEndedWarming = declareVec("attempts.ended-warming", LabelStatus,
		"Attempts ended that were started while their engine was warming up.")
	AttemptsLateEnd = declareVec("attempts.late-end", LabelStatus,
		"Results of attempts that had ended already; they are ignored.")
	AttemptsRetriedAfter = declareVec("attempts.retried-after", LabelStatus,
		"Attempts started after one that ended with the status.")
	AttemptsWithheldLate = declare("attempts.withheld.late",
		"Attempts not sent because their timeout or their deduplication window had passed; this is not a violation.")
	AttemptsProgress = declare("attempts.progress",
		"Progress reports of engines on attempts in flight.")
)

// Counters of connections to engines.
var (
	EngineConnectionsDialed = declare("engine-connections.dialed",
		"Connections to engines that were dialed, established or not.")
	EngineConnectionsClosed = declareVec("engine-connections.closed", LabelStatus,
		"Connections to engines that ended, established or not.")
	EngineConnectionsEvicted = declare("engine-connections.evicted",
		"Idle connections to engines closed to make a descriptor available.")
	EngineConnectionsIDsExhausted = declare("engine-connections.ids-exhausted",
		"Connections to engines that accept no more requests because they have remembered as many ids as they may.")
	EngineConnectionsLateResponses = declare("engine-connections.late-responses",
		"Responses to requests that have ended or were abandoned; they are ignored.")
	EngineConnectionsDuplicateResponses = declare("engine-connections.duplicate-responses",
		"Duplicates of responses; they are ignored.")
	EngineConnectionsCancelRequests = declare("engine-connections.cancel-requests",
		"Cancellations of queries at PostgreSQL engines, whether or not a cancel request could be sent.")
)

// Counters of client connections.
var (
	HTTPConnections = declare("http.connections",
		"Client connections accepted.")
	HTTPBadRequests = declare("http.bad-requests",
		"Malformed, invalid or incomplete requests; each closes its connection.")
	HTTPReadTimeouts = declare("http.read-timeouts",
		"Requests that were not complete within 2 s, and new clients that sent nothing in that time.")
	HTTPClosed = declareVec("http.closed", LabelCause,
		"Client connections ended.")
	HTTPEvicted = declare("http.evicted",
		"Client connections closed to make a descriptor available: idle ones and those without a valid request.")
	HTTPIdleClosed = declare("http.idle-closed",
		"Client connections closed after 30 s without a request.")
	PostgresConnections = declare("postgres.connections",
		"Client connections accepted.")
	PostgresMalformed = declare("postgres.malformed",
		"Malformed messages of clients; each closes its connection.")
	PostgresStalled = declare("postgres.stalled",
		"Messages of clients that stopped arriving before they were complete; each closes its connection.")
	PostgresReadBudget = declare("postgres.read-budget",
		"Incomplete messages of clients refused because the read buffers are full; each closes its connection.")
	PostgresErrors = declareVec("postgres.errors", LabelSQLState,
		"Errors sent to clients, except those that close the connection.")
	PostgresCancelRequests = declare("postgres.cancel-requests",
		"Cancel requests of clients for a request in flight; all others are ignored.")
	PostgresMayWrite = declare("postgres.may-write",
		"Statements that may write though their class is idempotent.")
)

// Counters of discovery.
var (
	DiscoveryUpdates = declare("discovery.updates",
		"Changes of the endpoint list that were applied.")
	EventBusEvents = declare("eventbus.events",
		"Events of the event bus that were applied.")
	EventBusReconnects = declare("eventbus.reconnects",
		"Lost connections to the event bus, and failed attempts to connect.")
	ConsulEvents = declare("consul.events",
		"Lists of registrations or of health checks from Consul that were applied.")
	ConsulErrors = declare("consul.errors",
		"Failed queries to Consul.")
)

// Counters of statement statistics.
var (
	ShapesHits = declare("shapes.hits",
		"Lookups of a statement shape that was cached; set when counters are printed.")
	ShapesMisses = declare("shapes.misses",
		"Lookups of a statement shape that was not cached; set when counters are printed.")
	ShapesCached = declare("shapes.held",
		"Statement shapes in the cache; set when counters are printed.")
	ShapesBytes = declare("shapes.bytes",
		"Bytes in the cache of statement shapes; set when counters are printed.")
	ShapesLearned = declare("shapes.learned",
		"Executions whose cost was learned; set when counters are printed.")
	ShapesCorrected = declare("shapes.corrected",
		"Requests for which the learned estimate replaced the client's; set when counters are printed.")
	ShapesSnapshots = declare("shapes.snapshots",
		"Snapshots written.")
	ShapesSnapshotFailed = declare("shapes.snapshot-failed",
		"Snapshots that could not be written.")
	ShapesSnapshotUnusable = declare("shapes.snapshot-unusable",
		"Snapshots found damaged or of another version.")
	ShapesSnapshotUnreadable = declare("shapes.snapshot-unreadable",
		"Snapshots that could not be read in five attempts.")
)

// Counters of the process.
var (
	PolicyUnsupportedActions = declare("policy.unsupported-actions",
		"Actions of the balancer that this program does not carry out.")
	ReloadCompleted = declare("reload.completed",
		"Reloads by SIGHUP that were carried out.")
	ReloadFailed = declare("reload.failed",
		"Reloads by SIGHUP whose file could not be used.")
	ReloadRetried = declare("reload.retried",
		"Retries of a reload whose file could not be read.")
	LogDropped = declare("log.dropped",
		"Log lines that were dropped or could not be written.")
)
