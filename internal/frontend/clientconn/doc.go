// Package clientconn contains the code that the servers for HTTP and for PostgreSQL clients share: the listener, back
// pressure on clients that do not read, and the rounding of retry delays.
//
// Three tasks look alike in both servers, but their protocols require different solutions:
//
//   - Read timeouts. An HTTP request is small, and its timeout limits the time until it is complete. A PostgreSQL
//     message may be large: its timeout limits each pause of the client within the message.
//   - Connection limits. HTTP clients keep no state in their connections, and the server evicts idle ones. A
//     PostgreSQL session has prepared statements and settings, and is never evicted: the server rejects further clients
//     with an error.
//   - Graceful shutdown. An HTTP server can't announce the close of an idle connection, and must serve the requests
//     that have arrived before it closes the connection. A PostgreSQL server announces the close with an ErrorResponse,
//     which is also the response to unread messages.
package clientconn
