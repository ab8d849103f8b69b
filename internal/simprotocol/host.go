// Package simprotocol speaks the simulator's line protocol: batches of events in,
// actions out, for many instances of the policy module in one process. It makes no
// decisions.
package simprotocol

import (
	"encoding/json"
	"fmt"
	"time"

	"flaxrelay/internal/config"
	"flaxrelay/policy"
)

// engineTableCount is how many engine tables the protocol numbers, from 0.
const engineTableCount = 16

// Host holds the instances of one process. It belongs to the goroutine that calls Run.
type Host struct {
	instances    map[int64]*instance
	engineTables [engineTableCount][]policy.Engine
	actions      []policy.Action // reused from event to event
	output       []byte          // the answer to the open batch; reused from batch to batch
}

// instance is one front end's policy module.
type instance struct {
	balancer   *policy.Balancer
	loadFields []string // names of the values in load reports, in order
	broken     bool     // the module has panicked; further events are dropped
}

// NewHost returns a host without instances.
func NewHost() *Host { return &Host{instances: make(map[int64]*instance)} }

// handleMessage carries out one message of a batch. Its fault is left in the message.
func (h *Host) handleMessage(now time.Duration, m *message) {
	switch m.name {
	case messageStart:
		h.startInstance(m)
		return
	case messageEngineTable:
		h.setEngineTable(m)
		return
	}
	id := m.integer(fieldInstance)
	if m.err != nil {
		return
	}
	target := h.instances[id]
	if target == nil {
		m.fail(fieldInstance, "no instance %d", id)
		return
	}
	if m.name == messageStop {
		delete(h.instances, id)
		return
	}
	event := h.decodeEvent(target, m)
	if m.err != nil || event == nil || target.broken {
		return
	}
	h.output = h.handleEvent(id, target, now, event)
}

// handleEvent gives an event to the policy module and returns the output with its
// actions. A panic of the module becomes a BROKEN message in their place.
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

// startInstance starts an instance, in place of the one with its number if there is one.
func (h *Host) startInstance(m *message) {
	id, seed := m.integer(fieldInstance), m.unsigned(startSeed)
	var settings config.Settings
	m.decode(startSettings, &settings)
	if m.err != nil {
		return
	}
	balancer, err := policy.New(settings.Policy, seed)
	if err != nil {
		m.fail(startSettings, "%v", err)
		return
	}
	h.instances[id] = &instance{balancer: balancer, loadFields: settings.LoadFields}
}

// setEngineTable replaces one engine table. Messages name such tables by their number.
func (h *Host) setEngineTable(m *message) {
	table := h.decodeTableNumber(m, engineTableNumber)
	var rows [][]json.RawMessage
	m.decode(engineTableRows, &rows)
	if m.err != nil {
		return
	}
	engines := make([]policy.Engine, len(rows))
	for i, row := range rows {
		engine, err := decodeEngine(row)
		if err != nil {
			m.fail(engineTableRows, "entry %d: %v", i, err)
			return
		}
		engines[i] = engine
	}
	h.engineTables[table] = engines
}
