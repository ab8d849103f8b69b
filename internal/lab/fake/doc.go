// Package fake implements fakes of the systems that flaxrelay works with, by their published protocols:
// engines of both wire protocols, the event bus, and Consul's catalog and health API. Listen opens a
// listener, on loopback addresses only, and ServeLineProtocol, ServePostgres, ServeEventBus or an HTTP
// server with ConsulHandler serves it until it is closed. ServeLineEngine serves an engine whose
// responses the caller determines.
package fake
