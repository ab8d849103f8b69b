// Package syscallfault runs a program as a traced child process and injects faults into its system
// calls, as Linux documents them: short and interrupted reads and writes, transient failures of connect
// and accept, writes to a full disk. It also steps the wall clock that the program reads, but not its
// monotonic clock. Start starts the program; SetFaults changes the faults while it runs.
//
// The tracer uses ptrace(2) with a seccomp(2) filter, so that only calls that may be changed stop
// the program. It needs no privileges beyond those of a parent process, and works for programs that
// make system calls without the C library.
package syscallfault
