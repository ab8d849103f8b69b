// Package fake implements fakes of the systems that flaxrelay connects to: engines of both wire protocols,
// the event bus, and Consul's catalog and health API. The fakes follow the published protocols. Listen opens a
// listener, on loopback addresses only. ServeLineProtocol, ServePostgres, ServeEventBus or an HTTP server
// with ConsulHandler serves the listener until the listener is closed. ServeLineEngine serves an engine whose
// responses the caller determines.
package fake
