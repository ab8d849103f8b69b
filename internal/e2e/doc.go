// Package e2e holds the end-to-end tests: clients, engines and endpoint lists are scripted
// peers on loopback sockets, with one scenario for each fault that production has met.
package e2e
