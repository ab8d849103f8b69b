// Package clientconn holds what the servers for HTTP and for PostgreSQL clients have in
// common: the listener, the budget of buffered results, back pressure on clients that
// do not read, and the form of a Retry-After. What the two protocols only seem to share
// (eviction, read time-outs, graceful shutdown) stays with each server.
package clientconn
