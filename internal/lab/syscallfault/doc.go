// Package syscallfault runs a program as a traced child process and makes some of its system
// calls fail in ways that Linux documents: reads and writes are cut short or interrupted,
// connects and accepts fail for a moment, writes to files run out of space. It also steps the
// wall clock that the program reads, and leaves its monotonic clock alone.
//
// The tracer uses ptrace(2) with a seccomp(2) filter, so that only calls that may be changed
// stop the program. It needs no rights beyond those of a parent, and works for programs that
// make system calls without the C library.
package syscallfault
