// Package fake stands in for the systems that flaxrelay works with, after their published
// protocols: engines of both wire protocols, the event bus, and Consul's catalogue and health
// API. All of them serve loopback addresses alone.
package fake
