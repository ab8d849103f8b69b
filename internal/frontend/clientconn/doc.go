// Package clientconn holds what the servers for HTTP and for PostgreSQL clients have in common: the listener, back
// pressure on clients that do not read, and the rounding of a Retry-After. Eviction, read time-outs and graceful
// shutdown depend on the protocol, and each server has its own.
package clientconn
