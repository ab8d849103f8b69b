// Package soak plays randomized faults against real front-end processes on loopback and checks
// what must hold whatever happens.
//
// A run starts front ends under internal/lab/syscallfault, engines as processes of their own, an
// event bus, proxies with faults before some engines, and clients of several kinds. Troubles
// drawn from the run's seed overlap in time: shutdowns, kills, reloads, drains, restarts, hangs,
// stepped clocks, failing system calls and disks, a bus that is down or silent. Engines report
// each request as it arrives and ends; the oracle compares these reports with what clients saw
// and what the bus has told.
//
// The troubles and their times follow from the seed; what they meet does not, since processes
// run in real time.
package soak
