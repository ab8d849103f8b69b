package simprotocol

import (
	"encoding/json"

	"flaxrelay/internal/config"
	"flaxrelay/policy"
)

// Names of the messages that the simulator sends.
const (
	messageClock         messageName = "CLOCK"
	messageEndBatch      messageName = "OVER_TO_YOU"
	messageStart         messageName = "INIT"
	messageStop          messageName = "EXIT"
	messageEngineTable   messageName = "POOL"
	messageEndpoints     messageName = "PEERS_KNOWN"
	messageRequest       messageName = "REQ"
	messageAttemptEnded  messageName = "SETTLED"
	messageProgress      messageName = "INTERIM"
	messageStreamStarted messageName = "HEAD_RECEIVED"
	messageDisconnected  messageName = "LAPSED"
	messageTimerFired    messageName = "TICK_DUE"
	messageHealthChecked messageName = "PROBED"
	messageFromReplica   messageName = "FROM_PEER"
)

// Names of the messages that the host writes.
const (
	messageBatchDone     messageName = "NEXT"
	messageBroken        messageName = "BROKEN"
	messageStartAttempt  messageName = "FORWARD"
	messageSetResources  messageName = "ALLOT"
	messageCancelAttempt messageName = "ABORT_ATTEMPT"
	messageCheckHealth   messageName = "ASK_LOAD"
	messageReject        messageName = "SAY_NO"
	messageFail          messageName = "DROP_REQUEST"
	messageSetTimer      messageName = "SLEEP"
	messageSubscribe     messageName = "LISTEN"
	messageLog           messageName = "SAY_LOG"
)

// Each message has its own list of fields, although the lists look alike, because a field may have
// different indexes in different messages.

// Fields of CLOCK.
var (
	clockTimeMS = field[float64]{0, "clock-ms"}
	clockBatch  = field[int64]{1, "batch"}
)

// fieldInstance is the first field of every message to an instance.
var fieldInstance = field[int64]{0, "who"}

// Fields of INIT.
var (
	startSeed     = field[uint64]{1, "prng"}
	startSettings = field[config.Settings]{2, "profile-data"}
)

// Fields of POOL, and of each row of its engine table.
var (
	engineTableNumber = field[int64]{0, "table"}
	engineTableRows   = field[[][]json.RawMessage]{1, "elements"}

	rowZone      = field[string]{0, "zone"}
	rowKind      = field[string]{1, "family-type"}
	rowEngine    = field[string]{2, "engine"}
	rowCell      = field[int64]{3, "cluster"}
	rowStartedMS = field[float64]{4, "last-start-ms"}
	rowState     = field[string]{6, "availability"}
)

// Fields of PEERS_KNOWN.
var (
	endpointsMode  = field[string]{1, "mode"}
	endpointsTable = field[int64]{3, "table"}
)

// Fields that have the same index in all messages about one request.
var (
	fieldRequestID = field[uint64]{1, "xid"}
	fieldAttempt   = field[int64]{2, "attempt"}
)

// Fields of REQ.
var (
	requestOrderKey   = field[string]{2, "order-key"}
	requestMemoryMB   = field[float64]{3, "est-memory-mb"}
	requestFlags      = field[int64]{4, "bits"}
	requestWorkMS     = field[float64]{5, "guess-ms"}
	requestClass      = field[string]{6, "profile"}
	requestDeadlineMS = field[float64]{7, "client-deadline-ms"}
	requestTenant     = field[string]{8, "account"}
	requestDataset    = field[int64]{9, "schema-no"}
)

// Fields of SETTLED.
var (
	endedResult    = field[int64]{4, "rc"}
	endedElapsedMS = field[float64]{5, "rtt-ms"}
	endedCompleted = field[bool]{6, "last"}
	endedCost      = field[int64]{7, "note"}
	endedLoad      = field[[]float64]{8, "usage"}
)

// Fields of INTERIM.
var (
	progressKind  = field[int64]{4, "sort"}
	progressValue = field[float64]{5, "value"}
)

// timerToken is the field of TICK_DUE.
var timerToken = field[uint64]{1, "nonce"}

// Fields of PROBED.
var (
	healthEngine = field[string]{1, "engine"}
	healthResult = field[int64]{2, "rc"}
	healthLoad   = field[[]float64]{4, "usage"}
)

// resultCodes maps the protocol's codes to the results of attempts and health checks. Any other code is
// policy.ResultUnknown.
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

// Names of values in load reports. The balancer uses only these values.
const (
	loadCPUShare    = "cpu"
	loadInFlight    = "active"
	loadQueued      = "waiting"
	loadMemoryShare = "x0"
	loadDiskShare   = "x1"
)

// engineStates maps the names of states in POOL to the states of engines.
var engineStates = map[string]policy.EngineState{
	"live":      policy.EngineReady,
	"quiescing": policy.EngineDraining,
	"dead":      policy.EngineRemoved,
}

// updateModes maps the names of modes in PEERS_KNOWN to the modes of endpoint updates.
var updateModes = map[string]policy.UpdateMode{
	"delta":  policy.UpdateDelta,
	"full":   policy.UpdateFull,
	"cached": policy.UpdateCached,
	"failed": policy.UpdateFailed,
}
