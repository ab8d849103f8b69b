// Package fake implements substitutes for the systems that flaxrelay works with, by their published
// protocols: engines of both wire protocols, the event bus, and Consul's catalogue and health API. All
// of them serve loopback addresses only.
package fake
