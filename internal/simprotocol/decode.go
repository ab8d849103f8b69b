package simprotocol

import (
	"encoding/json"
	"time"

	"flaxrelay/internal/config"
	"flaxrelay/policy"
)

// decodeEvent returns the event that a message to an instance contains, or nil if the balancer has no
// event for the message.
func (h *Host) decodeEvent(target *instance, message *inputMessage) policy.Event {
	switch message.name {
	case messageEndpoints:
		return h.decodeEndpoints(message)
	case messageRequest:
		return decodeRequest(message)
	case messageAttemptEnded:
		return decodeAttemptEnded(target, message)
	case messageProgress:
		return decodeProgress(message)
	case messageStreamStarted:
		return policy.StreamStarted{
			RequestID: fieldRequestID.required(message),
			Attempt:   int(fieldAttempt.required(message)),
		}
	case messageDisconnected:
		return policy.ClientDisconnected{RequestID: fieldRequestID.required(message)}
	case messageTimerFired:
		return policy.TimerFired{Token: timerToken.required(message)}
	case messageHealthChecked:
		return policy.HealthChecked{
			Engine: healthEngine.required(message),
			Result: resultCodes[healthResult.required(message)],
			Load:   target.decodeLoad(message, healthLoad),
		}
	case messageFromReplica:
		return nil
	default:
		message.fail("message", "unknown name")
		return nil
	}
}

// decodeEndpoints decodes a change of the endpoint list. The message refers to an engine table, which
// contains the engines.
func (h *Host) decodeEndpoints(message *inputMessage) policy.Event {
	modeName := endpointsMode.required(message)
	mode, known := updateModes[modeName]
	if !known {
		message.fail(endpointsMode.name, "unknown mode %q", modeName)
		return nil
	}
	if mode == policy.UpdateFailed { // the message has no table
		return policy.EndpointsChanged{Mode: mode}
	}
	table := h.decodeTableNumber(message, endpointsTable)
	if message.err != nil {
		return nil
	}
	return policy.EndpointsChanged{Mode: mode, Engines: h.engineTables[table]}
}

// decodeTableNumber decodes the number of an engine table.
func (h *Host) decodeTableNumber(message *inputMessage, table field[int64]) int64 {
	number := table.required(message)
	if message.err == nil && (number < 0 || number >= int64(len(h.engineTables))) {
		message.fail(table.name, "%d is not within 0 to %d", number, len(h.engineTables)-1)
	}
	return number
}

// Bits of the flags of a request.
const (
	flagHasWorkEstimate = 1 << iota
	flagClientRetry
)

func decodeRequest(message *inputMessage) policy.Event {
	event := policy.RequestArrived{
		RequestID:         fieldRequestID.required(message),
		Class:             requestClass.required(message),
		OrderKey:          requestOrderKey.optional(message),
		EstimatedMemoryMB: requestMemoryMB.optional(message),
	}
	flags := requestFlags.optional(message)
	workMS := requestWorkMS.optional(message)
	event.Deadline = config.FromMilliseconds(requestDeadlineMS.required(message))
	event.Tenant = decodeTenant(message)
	event.Dataset = requestDataset.optional(message)
	if flags&flagHasWorkEstimate != 0 {
		event.EstimatedWork = config.FromMilliseconds(workMS)
	}
	event.ClientRetry = flags&flagClientRetry != 0
	return event
}

// noTenant is the JSON value of the tenant if a request has no tenant. All other values are strings.
const noTenant = "0"

func decodeTenant(message *inputMessage) string {
	if requestTenant.present(message) && string(message.values[requestTenant.index]) == noTenant {
		return ""
	}
	return requestTenant.optional(message)
}

// The cost of an attempt is one number: its work in milliseconds times costMemorySteps, plus its memory
// in steps of costMemoryStepMB.
const (
	costMemorySteps  = 4096
	costMemoryStepMB = 4
)

func decodeAttemptEnded(target *instance, message *inputMessage) policy.Event {
	event := policy.AttemptEnded{
		RequestID: fieldRequestID.required(message),
		Attempt:   int(fieldAttempt.required(message)),
		Result:    resultCodes[endedResult.required(message)],
		Elapsed:   config.FromMilliseconds(endedElapsedMS.required(message)),
		Completed: endedCompleted.required(message),
	}
	cost := endedCost.optional(message)
	event.Work = time.Duration(cost/costMemorySteps) * time.Millisecond
	event.MemoryMB = float64(cost%costMemorySteps) * costMemoryStepMB
	event.Load = target.decodeLoad(message, endedLoad)
	return event
}

// Kinds of progress in INTERIM.
const (
	progressFraction = 1
	progressSpilling = 2
	progressAwaiting = 3 // the value is the awaited resource
)

// awaitingLoad is the value if an attempt waits for a bulk load. Any other value means that the attempt
// waits for memory.
const awaitingLoad = 2

func decodeProgress(message *inputMessage) policy.Event {
	event := policy.ProgressReported{
		RequestID: fieldRequestID.required(message),
		Attempt:   int(fieldAttempt.required(message)),
		Value:     progressValue.required(message),
	}
	switch kind := progressKind.required(message); {
	case kind == progressFraction:
		event.Kind = policy.ProgressFraction
	case kind == progressSpilling:
		event.Kind = policy.ProgressSpilling
	case kind == progressAwaiting && event.Value == awaitingLoad:
		event.Kind = policy.ProgressAwaitingLoad
	case kind == progressAwaiting:
		event.Kind = policy.ProgressAwaitingMemory
	default:
		message.fail(progressKind.name, "unknown sort %d", kind)
	}
	return event
}

// decodeLoad decodes a load report, whose values are in the order of the names in the instance's
// settings. Values that the balancer does not use are skipped.
func (in *instance) decodeLoad(message *inputMessage, report field[[]float64]) policy.LoadReport {
	load := policy.UnreportedLoad()
	values := report.optional(message)
	if message.err == nil && values != nil && len(values) != len(in.loadFields) {
		message.fail(report.name, "%d values for %d names", len(values), len(in.loadFields))
		return load
	}
	for i, value := range values {
		load.Reported = true
		switch in.loadFields[i] {
		case loadCPUShare:
			load.CPUShare = value
		case loadInFlight:
			load.InFlight = value
		case loadQueued:
			load.Queued = value
		case loadMemoryShare:
			load.MemoryShare = value
		case loadDiskShare:
			load.DiskShare = value
		}
	}
	return load
}

// decodeEngine decodes one row of an engine table.
func decodeEngine(row []json.RawMessage) (policy.Engine, error) {
	message := &inputMessage{name: messageEngineTable, values: row}
	engine := policy.Engine{
		Zone:      rowZone.required(message),
		Kind:      rowKind.required(message),
		ID:        rowEngine.required(message),
		Cell:      rowCell.optional(message),
		CellKnown: rowCell.present(message),
	}
	startedMS := rowStartedMS.optional(message)
	engine.StartedAt = config.FromMilliseconds(startedMS)
	engine.StartKnown = startedMS > 0
	stateName := rowState.required(message)
	state, known := engineStates[stateName]
	if !known {
		message.fail(rowState.name, "unknown state %q", stateName)
	}
	engine.State = state
	return engine, message.err
}
