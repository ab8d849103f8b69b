package simprotocol

import "flaxrelay/policy"

// Names of the messages that the simulator sends.
const (
	messageClock         = "CLOCK"
	messageEndBatch      = "OVER_TO_YOU"
	messageStart         = "INIT"
	messageStop          = "EXIT"
	messageEngineTable   = "POOL"
	messageEndpoints     = "PEERS_KNOWN"
	messageRequest       = "REQ"
	messageAttemptEnded  = "SETTLED"
	messageProgress      = "INTERIM"
	messageStreamStarted = "HEAD_RECEIVED"
	messageDisconnected  = "LAPSED"
	messageTimerFired    = "TICK_DUE"
	messageHealthChecked = "PROBED"
	messageFromReplica   = "FROM_PEER"
)

// Names of the messages that the host writes.
const (
	messageBatchDone     = "NEXT"
	messageBroken        = "BROKEN"
	messageStartAttempt  = "FORWARD"
	messageSetResources  = "ALLOT"
	messageCancelAttempt = "ABORT_ATTEMPT"
	messageCheckHealth   = "ASK_LOAD"
	messageReject        = "SAY_NO"
	messageFail          = "DROP_REQUEST"
	messageSetTimer      = "SLEEP"
	messageSubscribe     = "LISTEN"
	messageLog           = "SAY_LOG"
)

// Fields of CLOCK.
var (
	clockTimeMS = field{0, "clock-ms"}
	clockBatch  = field{1, "batch"}
)

// fieldInstance is the first field of every message to one instance.
var fieldInstance = field{0, "who"}

// Fields of INIT.
var (
	startSeed     = field{1, "prng"}
	startSettings = field{2, "profile-data"}
)

// Fields of POOL, and of each row of its engines.
var (
	engineTableNumber = field{0, "table"}
	engineTableRows   = field{1, "elements"}

	rowZone      = field{0, "zone"}
	rowKind      = field{1, "family-type"}
	rowEngine    = field{2, "engine"}
	rowCell      = field{3, "cluster"}
	rowStartedMS = field{4, "last-start-ms"}
	rowState     = field{6, "availability"}
)

// Fields of PEERS_KNOWN.
var (
	endpointsMode  = field{1, "mode"}
	endpointsTable = field{3, "table"}
)

// Fields that messages about one request have at the same place.
var (
	fieldRequestID = field{1, "xid"}
	fieldAttempt   = field{2, "attempt"}
)

// Fields of REQ.
var (
	requestOrderKey   = field{2, "order-key"}
	requestMemoryMB   = field{3, "est-memory-mb"}
	requestFlags      = field{4, "bits"}
	requestWorkMS     = field{5, "guess-ms"}
	requestClass      = field{6, "profile"}
	requestDeadlineMS = field{7, "client-deadline-ms"}
	requestTenant     = field{8, "account"}
	requestDataset    = field{9, "schema-no"}
)

// Fields of SETTLED.
var (
	endedResult    = field{4, "rc"}
	endedElapsedMS = field{5, "rtt-ms"}
	endedCompleted = field{6, "last"}
	endedCost      = field{7, "note"}
	endedLoad      = field{8, "usage"}
)

// Fields of INTERIM.
var (
	progressKind  = field{4, "sort"}
	progressValue = field{5, "value"}
)

// timerToken is the field of TICK_DUE.
var timerToken = field{1, "nonce"}

// Fields of PROBED.
var (
	healthEngine = field{1, "engine"}
	healthResult = field{2, "rc"}
	healthLoad   = field{4, "usage"}
)

// resultCodes are the results of attempts and health checks as the protocol numbers them.
var resultCodes = map[int64]policy.Result{
	200: policy.ResultServed,
	502: policy.ResultFailed,
	429: policy.ResultOverloaded,
	408: policy.ResultTimedOut,
	521: policy.ResultConnectFailed,
	520: policy.ResultConnectionLost,
	444: policy.ResultCancelled,
	409: policy.ResultNotSent,
}

// engineStates are the states of engines as POOL spells them.
var engineStates = map[string]policy.EngineState{
	"live":      policy.EngineReady,
	"quiescing": policy.EngineDraining,
	"dead":      policy.EngineRemoved,
}

// updateModes are the kinds of endpoint lists as PEERS_KNOWN spells them.
var updateModes = map[string]policy.UpdateMode{
	"delta":  policy.UpdateDelta,
	"full":   policy.UpdateFull,
	"cached": policy.UpdateCached,
	"failed": policy.UpdateFailed,
}
