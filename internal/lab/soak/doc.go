// Package soak injects randomized faults into real front-end processes on loopback and checks rules that
// must hold under every fault. Run carries out one run and returns its Result with all violations. The
// calling program must call RunEngineProcess before anything else.
//
// A run starts front ends under internal/lab/syscallfault, engines as separate processes, an
// event bus, fault-injecting proxies in front of some engines, and the clients of the workload. The
// fault schedule is drawn from the run's seed: graceful shutdowns, kills, reloads, drained,
// restarted and hanging engines, stepped clocks, failing system calls and disks, a bus that is
// down or silent. Faults overlap in time.
//
// Clients, engine processes and the fault injector record a history: each request with its
// outcome, each attempt as it begins and ends at an engine, and each change that the bus
// publishes. The checker reads the history after the run and reports each violation of a Rule.
//
// The seed determines the schedule. It does not determine the requests in flight when a fault begins,
// because the processes run in real time.
package soak
