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

// Defaults of limits that are not configured.
const (
	defaultMemoryMB    = 192
	defaultDescriptors = 1024
)

// Divisors of the memory limit. Each defines the share of one part of the program: read buffers of
// clients may use an eighth of the limit, for example. Without statement statistics, the shares add up
// to a third of the limit in the HTTP front end, and to 17 of 24 parts in the PostgreSQL front end. The
// rest is for the program itself and the garbage collector.
const (
	clientReadDivisor      = 8  // read buffers of the connections of clients
	dialedReadDivisor      = 12 // read buffers of the connections to engines and to the event bus
	bufferedResultsDivisor = 8  // HTTP results whose next page has not been fetched yet
	openPortalsDivisor     = 6  // rows in open portals of PostgreSQL clients
	statementsDivisor      = 12 // prepared statements of PostgreSQL clients
	engineBufferDivisor    = 4  // results of PostgreSQL engines that have not been sent to clients yet
	shapeStatisticsDivisor = 4  // maximum for statement statistics
)

// The minimum sizes of the read budgets, in bytes. Each exceeds the largest message of a PostgreSQL client
// or of a PostgreSQL engine.
const (
	minClientReadBudget = 2 << 20
	minDialedReadBudget = 5 << 20
)

// The Go runtime's soft memory limit is heapLimitTenths / tenths of the configured memory limit, and less
// if that leaves less than programMemoryMB. Below minHeapLimitTenths / tenths the garbage collector would
// take too much of the processor.
const (
	heapLimitTenths    = 6
	minHeapLimitTenths = 3
	tenths             = 10
	// programMemoryMB is the memory outside the runtime's limit, in MB: above all the mapped program file and
	// the C library, which count towards the configured limit too.
	programMemoryMB = 16
)

// The division of the descriptor table. Clients get three quarters of the table minus
// closingClientReserve. Engines get the rest minus httpserver.SpareClients and reservedDescriptors.
const (
	clientShareQuarters = 3
	quarters            = 4
	// closingClientReserve is for connections of clients that are being closed while other connections
	// are accepted.
	closingClientReserve = 32
	// reservedDescriptors are available to neither clients nor engines. They are for the program
	// itself, for connections that are being closed, and for discovery, which must be able to
	// reconnect even if the table filled up while the source of the endpoint list was unreachable.
	reservedDescriptors = 24
	// The minimum numbers of connections, so that a front end with a very small table still works.
	minClients           = 8
	minEngineConnections = 4
)

// maxProcessors is the value of GOMAXPROCS. It is more than 1 even on one core, because the event loop's
// poller occupies a processor while it waits.
const maxProcessors = 3

// resourceLimits are the configured limits of the process; 0 or less selects the default.
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

// clientReadBudget returns the limit on the read buffers of all connections of clients, in bytes.
func (l resourceLimits) clientReadBudget() int64 {
	return int64(max(l.memoryFraction(clientReadDivisor), minClientReadBudget))
}

// dialedReadBudget returns the limit on the read buffers of all connections to engines and to the event
// bus, in bytes.
func (l resourceLimits) dialedReadBudget() int64 {
	return int64(max(l.memoryFraction(dialedReadDivisor), minDialedReadBudget))
}

// descriptorTable returns the limit on descriptors.
func (l resourceLimits) descriptorTable() int {
	if l.descriptors <= 0 {
		return defaultDescriptors
	}
	return l.descriptors
}

// maxClients returns the limit on client connections.
func (l resourceLimits) maxClients() int {
	return max(l.descriptorTable()*clientShareQuarters/quarters-closingClientReserve, minClients)
}

// maxEngineConnections returns the limit on connections to engines.
func (l resourceLimits) maxEngineConnections() int {
	remaining := l.descriptorTable() - l.maxClients() - httpserver.SpareClients - reservedDescriptors
	return max(remaining, minEngineConnections)
}

// heapLimit returns the soft memory limit of the Go runtime, in bytes. A memory limit must be configured.
func (l resourceLimits) heapLimit() int64 {
	limit := int64(l.memoryMB) * bytesPerMB
	usual := limit * heapLimitTenths / tenths
	return max(min(usual, limit-programMemoryMB*bytesPerMB), limit*minHeapLimitTenths/tenths)
}

// applyToRuntime sets the limits of the Go runtime. Without a configured memory limit the garbage
// collector keeps its default.
func (l resourceLimits) applyToRuntime() {
	if l.memoryMB > 0 {
		debug.SetMemoryLimit(l.heapLimit())
	}
	runtime.GOMAXPROCS(maxProcessors)
}
