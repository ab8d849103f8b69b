// Package clientconn holds what the servers for HTTP and for PostgreSQL clients have in common: the listener, back
// pressure on clients that do not read, and the rounding of a Retry-After.
//
// Three tasks look alike in both servers, but their protocols require different solutions:
//
//   - Time limits for reading. An HTTP request is small, and one limit holds for all of it. A PostgreSQL message may be
//     large: the limit holds for each pause of the client within the message.
//   - The limit of connections. HTTP clients keep no state in their connections, and the server evicts idle ones. A
//     PostgreSQL session has prepared statements and settings, and is never evicted: the server rejects further clients
//     with an error.
//   - Graceful shutdown. An HTTP server can't announce the close of an idle connection, and must serve the requests
//     that have arrived before it closes the connection. A PostgreSQL server announces the close with an ErrorResponse,
//     which is the response to unread messages, too.
package clientconn
