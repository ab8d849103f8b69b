// Package syscallfault runs a program as a traced child process and injects faults into its system
// calls. Linux documents these faults: short and interrupted reads and writes, transient failures of connect
// and accept, writes to a full disk. The package also steps the wall clock that the program reads, but not the
// monotonic clock. Start starts the program; SetFaults changes the faults while the program runs.
//
// The tracer uses ptrace(2) with a seccomp(2) filter. The program stops only at calls that may be changed. The
// tracer needs no privileges beyond those of a parent process, and works for programs that make system calls
// without the C library.
package syscallfault
