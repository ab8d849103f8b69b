package simprotocol

import (
	"encoding/json"
	"time"

	"flaxrelay/internal/config"
	"flaxrelay/policy"
)

// milliseconds translates the protocol's fractional milliseconds, exact to the
// microsecond.
func milliseconds(ms float64) time.Duration { return config.FromMilliseconds(ms) }

// decodeEvent turns one message to an instance into an event; nil for one that the
// policy module has no use for.
func (h *Host) decodeEvent(target *instance, m *message) policy.Event {
	switch m.name {
	case messageEndpoints:
		return h.decodeEndpoints(m)
	case messageRequest:
		return decodeRequest(m)
	case messageAttemptEnded:
		return decodeAttemptEnded(target, m)
	case messageProgress:
		return decodeProgress(m)
	case messageStreamStarted:
		return policy.StreamStarted{RequestID: m.unsigned(fieldRequestID), Attempt: int(m.integer(fieldAttempt))}
	case messageDisconnected:
		return policy.ClientDisconnected{RequestID: m.unsigned(fieldRequestID)}
	case messageTimerFired:
		return policy.TimerFired{Token: m.unsigned(timerToken)}
	case messageHealthChecked:
		return policy.HealthChecked{
			Engine: m.text(healthEngine),
			Result: resultCodes[m.integer(healthResult)],
			Load:   target.decodeLoad(m, healthLoad),
		}
	case messageFromReplica:
		return nil
	}
	m.fail(field{name: "message"}, "unknown name")
	return nil
}

// decodeEndpoints reads a change of the endpoint list, whose engines are those of a table.
func (h *Host) decodeEndpoints(m *message) policy.Event {
	spelling := m.text(endpointsMode)
	mode, known := updateModes[spelling]
	if !known {
		m.fail(endpointsMode, "unknown mode %q", spelling)
		return nil
	}
	if mode == policy.UpdateFailed { // without a list
		return policy.EndpointsChanged{Mode: mode}
	}
	table := h.decodeTableNumber(m, endpointsTable)
	if m.err != nil {
		return nil
	}
	return policy.EndpointsChanged{Mode: mode, Engines: h.engineTables[table]}
}

// decodeTableNumber reads the number of an engine table.
func (h *Host) decodeTableNumber(m *message, f field) int64 {
	number := m.integer(f)
	if m.err == nil && (number < 0 || number >= int64(len(h.engineTables))) {
		m.fail(f, "%d is not within 0 to %d", number, len(h.engineTables)-1)
	}
	return number
}

// Bits of the flags of a request.
const (
	flagHasWorkEstimate = 1 << iota
	flagClientRetry
)

func decodeRequest(m *message) policy.Event {
	event := policy.RequestArrived{RequestID: m.unsigned(fieldRequestID), Class: m.text(requestClass)}
	var flags int64
	var workMS float64
	m.decodeOptional(requestOrderKey, &event.OrderKey)
	m.decodeOptional(requestMemoryMB, &event.EstimatedMemoryMB)
	m.decodeOptional(requestFlags, &flags)
	m.decodeOptional(requestWorkMS, &workMS)
	event.Deadline = milliseconds(m.float(requestDeadlineMS))
	event.Tenant = decodeTenant(m)
	m.decodeOptional(requestDataset, &event.Dataset)
	if flags&flagHasWorkEstimate != 0 {
		event.EstimatedWork = milliseconds(workMS)
	}
	event.ClientRetry = flags&flagClientRetry != 0
	return event
}

// noTenant is the tenant of a request without one. Others are strings.
const noTenant = "0"

func decodeTenant(m *message) (tenant string) {
	if m.present(requestTenant) && string(m.values[requestTenant.index]) != noTenant {
		m.decodeOptional(requestTenant, &tenant)
	}
	return tenant
}

// The cost of an attempt is one number: its work in milliseconds times costMemorySteps,
// plus its memory in steps of costMemoryStepMB.
const (
	costMemorySteps  = 4096
	costMemoryStepMB = 4
)

func decodeAttemptEnded(target *instance, m *message) policy.Event {
	event := policy.AttemptEnded{
		RequestID: m.unsigned(fieldRequestID),
		Attempt:   int(m.integer(fieldAttempt)),
		Result:    resultCodes[m.integer(endedResult)],
		Elapsed:   milliseconds(m.float(endedElapsedMS)),
		Completed: m.flag(endedCompleted),
	}
	var cost int64
	m.decodeOptional(endedCost, &cost)
	event.Work = time.Duration(cost/costMemorySteps) * time.Millisecond
	event.MemoryMB = float64(cost%costMemorySteps) * costMemoryStepMB
	event.Load = target.decodeLoad(m, endedLoad)
	return event
}

// Kinds of progress as INTERIM numbers them, and the value of a wait for a bulk load.
// Any other value is a wait for memory.
const (
	progressFraction = 1
	progressSpilling = 2
	progressWaiting  = 3
	waitingForLoad   = 2
)

func decodeProgress(m *message) policy.Event {
	event := policy.ProgressReported{
		RequestID: m.unsigned(fieldRequestID),
		Attempt:   int(m.integer(fieldAttempt)),
		Value:     m.float(progressValue),
	}
	switch kind := m.integer(progressKind); {
	case kind == progressFraction:
		event.Kind = policy.ProgressFraction
	case kind == progressSpilling:
		event.Kind = policy.ProgressSpilling
	case kind == progressWaiting && event.Value == waitingForLoad:
		event.Kind = policy.ProgressAwaitingLoad
	case kind == progressWaiting:
		event.Kind = policy.ProgressAwaitingMemory
	default:
		m.fail(progressKind, "unknown sort %d", kind)
	}
	return event
}

// notReported is the value of a load report's field that the engine did not report.
const notReported = -1

// decodeLoad reads a load report, whose values stand in the order of the instance's
// settings. Names that the policy module has no use for are skipped.
func (in *instance) decodeLoad(m *message, f field) policy.LoadReport {
	load := policy.LoadReport{
		CPUShare: notReported, InFlight: notReported, Queued: notReported, MemoryShare: notReported, DiskShare: notReported,
	}
	var values []float64
	m.decodeOptional(f, &values)
	if m.err == nil && values != nil && len(values) != len(in.loadFields) {
		m.fail(f, "%d values for %d names", len(values), len(in.loadFields))
		return load
	}
	for i, value := range values {
		load.Reported = true
		switch in.loadFields[i] {
		case "cpu":
			load.CPUShare = value
		case "active":
			load.InFlight = value
		case "waiting":
			load.Queued = value
		case "x0":
			load.MemoryShare = value
		case "x1":
			load.DiskShare = value
		}
	}
	return load
}

// decodeEngine reads one row of an engine table.
func decodeEngine(row []json.RawMessage) (policy.Engine, error) {
	m := &message{name: messageEngineTable, values: row}
	engine := policy.Engine{Zone: m.text(rowZone), Kind: m.text(rowKind), ID: m.text(rowEngine)}
	m.decodeOptional(rowCell, &engine.Cell)
	var startedMS float64
	m.decodeOptional(rowStartedMS, &startedMS)
	engine.StartedAt, engine.StartKnown = milliseconds(startedMS), startedMS > 0
	spelling := m.text(rowState)
	state, known := engineStates[spelling]
	if !known {
		m.fail(rowState, "unknown state %q", spelling)
	}
	engine.State = state
	return engine, m.err
}
