package main

import (
	"runtime"
	"runtime/debug"

	"flaxrelay/internal/frontend/httpserver"
)

const (
	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
)

// Limits of a configuration that sets none.
const (
	defaultMemoryMB    = 192
	defaultDescriptors = 1024
)

// The parts of the memory limit that its users may take, as divisors. Without query
// shapes, the HTTP front end's parts add up to less than a third of it and the PostgreSQL
// front end's to less than six tenths; the rest is for the program itself and the
// garbage collector.
const (
	loopBufferDivisor      = 6 // read buffers of all connections of the event loop
	bufferedResultsDivisor = 8 // HTTP results that wait for their next page to be fetched
	openPortalsDivisor     = 6 // rows in open portals of PostgreSQL clients
	engineBufferDivisor    = 4 // results of PostgreSQL engines that no client has read yet
	shapeStatisticsDivisor = 4 // the most that query shape statistics may be configured to take
)

// The part of the memory limit from which the garbage collector bounds
// the heap's growth: well below the limit, as buffers outside the heap count too.
const (
	heapLimitTenths = 6
	tenths          = 10
)

// The descriptor budget. Clients get three quarters of the table without
// closingClientReserve, engines what is left without reservedDescriptors.
const (
	// closingClientReserve is for connections of clients that are being closed while
	// others are accepted.
	closingClientReserve = 32
	// reservedDescriptors may be taken by neither clients nor engines: they are for the
	// program itself, for connections that are being closed, and for discovery, which
	// has to reconnect even if it was away while the table filled up.
	reservedDescriptors = 24
	// Least numbers that keep a front end with a very small table working.
	minClients           = 8
	minEngineConnections = 4
)

// maxProcessors is more than one even on one core, as the poller's wait holds one.
const maxProcessors = 3

// resourceLimits are the limits of the process as configured; 0 or less selects the
// default.
type resourceLimits struct {
	memoryMB    int
	descriptors int
}

// memoryFraction returns the memory limit divided by the divisor, in bytes.
func (l resourceLimits) memoryFraction(divisor int) int {
	memoryMB := l.memoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return memoryMB * bytesPerMB / divisor
}

// descriptorTable returns the size of the descriptor table.
func (l resourceLimits) descriptorTable() int {
	if l.descriptors <= 0 {
		return defaultDescriptors
	}
	return l.descriptors
}

// maxClients returns how many client connections the front end accepts.
func (l resourceLimits) maxClients() int {
	return max(l.descriptorTable()*3/4-closingClientReserve, minClients)
}

// maxEngineConnections returns how many connections to engines the clients leave
// descriptors for.
func (l resourceLimits) maxEngineConnections() int {
	remaining := l.descriptorTable() - l.maxClients() - httpserver.SpareClients - reservedDescriptors
	return max(remaining, minEngineConnections)
}

// applyToRuntime sets the limits of the Go runtime. Without a configured memory limit
// the garbage collector keeps its default.
func (l resourceLimits) applyToRuntime() {
	if l.memoryMB > 0 {
		debug.SetMemoryLimit(int64(l.memoryMB) * bytesPerMB * heapLimitTenths / tenths)
	}
	runtime.GOMAXPROCS(maxProcessors)
}
