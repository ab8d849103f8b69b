// Package simprotocol implements the simulator's line protocol for many instances of policy.Balancer in
// one process. It translates messages to events and actions to messages, and makes no decisions.
//
// Each line is a message: a JSON array that contains the name of the message and its fields. The
// simulator sends batches. A batch begins with CLOCK, which contains the time, and ends with OVER_TO_YOU.
// The messages between them start and stop instances, set engine tables and contain the events of
// instances. The host responds to a batch with the actions of all instances, followed by NEXT.
//
// NewHost().Run(in, out) serves one simulator. names.go lists the messages and their fields.
package simprotocol

import (
	"fmt"
	"time"

	"flaxrelay/policy"
)

// engineTableCount is the number of engine tables. In messages, the first table has the number 0.
const engineTableCount = 16

// Host owns the instances of one process and the engine tables that they share. It is not safe for
// concurrent use.
type Host struct {
	instances    map[int64]*instance // by number
	engineTables [engineTableCount][]policy.Engine
	actions      []policy.Action // buffer for the actions of one event
	output       []byte          // the response to the open batch; its buffer is reused for the next batch
}

// instance is the balancer of one simulated front end.
type instance struct {
	balancer   *policy.Balancer
	loadFields []string // names of the values in load reports, in order
	broken     bool     // the balancer has panicked; further events are dropped
}

// NewHost returns a host without instances.
func NewHost() *Host { return &Host{instances: make(map[int64]*instance)} }

// handleMessage handles one message of a batch. It sets message.err if the message is invalid.
func (h *Host) handleMessage(now time.Duration, message *inputMessage) {
	switch message.name {
	case messageStart:
		h.startInstance(message)
	case messageEngineTable:
		h.setEngineTable(message)
	default:
		h.handleInstanceMessage(now, message)
	}
}

// handleInstanceMessage handles a message to one instance.
func (h *Host) handleInstanceMessage(now time.Duration, message *inputMessage) {
	id := fieldInstance.required(message)
	if message.err != nil {
		return
	}
	target := h.instances[id]
	if target == nil {
		message.fail(fieldInstance.name, "no instance %d", id)
		return
	}
	if message.name == messageStop {
		delete(h.instances, id)
		return
	}
	event := h.decodeEvent(target, message)
	if message.err != nil || event == nil || target.broken {
		return
	}
	h.output = h.handleEvent(id, target, now, event)
}

// handleEvent passes an event to the balancer and returns the output with the actions appended. If the
// balancer panics, a BROKEN message is appended instead.
func (h *Host) handleEvent(id int64, target *instance, now time.Duration, event policy.Event) (output []byte) {
	output = h.output
	defer func() {
		if cause := recover(); cause != nil {
			target.broken = true
			output = beginLine(h.output, messageBroken, id).text(fmt.Sprint(cause)).end()
		}
	}()
	h.actions = target.balancer.Handle(now, event, h.actions[:0])
	for _, action := range h.actions {
		output = encodeAction(output, id, action)
	}
	return output
}

// startInstance starts an instance. It replaces an instance that has the same number.
func (h *Host) startInstance(message *inputMessage) {
	id := fieldInstance.required(message)
	seed := startSeed.required(message)
	settings := startSettings.required(message)
	if message.err != nil {
		return
	}
	balancer, err := policy.New(settings.Policy, seed)
	if err != nil {
		message.fail(startSettings.name, "%v", err)
		return
	}
	h.instances[id] = &instance{balancer: balancer, loadFields: settings.LoadFields}
}

// setEngineTable replaces one engine table. Later messages refer to the table by its number.
func (h *Host) setEngineTable(message *inputMessage) {
	table := h.decodeTableNumber(message, engineTableNumber)
	rows := engineTableRows.required(message)
	if message.err != nil {
		return
	}
	engines := make([]policy.Engine, len(rows))
	for i, row := range rows {
		engine, err := decodeEngine(row)
		if err != nil {
			message.fail(engineTableRows.name, "row %d: %v", i, err)
			return
		}
		engines[i] = engine
	}
	h.engineTables[table] = engines
}
