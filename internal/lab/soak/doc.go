// Package soak injects randomized faults into real front-end processes on loopback and checks rules that
// must hold under every fault. Run carries out one run and returns its Result with all violations. The
// program at Options.EngineProgram, usually the calling program, must call RunEngineProcess before anything
// else.
//
// A run starts front ends under internal/lab/syscallfault, engines as separate processes, an
// event bus, fault-injecting proxies in front of some engines, and the clients of the workload. The
// fault schedule is drawn from the run's seed. Its faults are graceful shutdowns, kills and reloads of
// front ends, drained, restarted and frozen engines, stepped clocks, failing system calls and disks, and a
// bus that moves, is down or silent, or truncates events. Faults overlap in time.
//
// One more client repeats the ids of the others' open requests; its requests are not part of the history.
//
// Clients, engine processes and the fault injector record a history: each request with its
// outcome, each attempt as it begins and ends at an engine, and each change that the bus
// publishes. The checker reads the history after the run and applies most of the rules to it. Clients check
// the other rules in the responses that they receive, and the run checks the front ends' processes and logs.
//
// The seed determines the schedule. It does not determine which requests are in flight when a fault begins,
// because the processes run in real time.
package soak
