// Package e2e contains the end-to-end tests. A front end runs in the test's process (frontEnd); its clients, engines
// and endpoint lists are scripted peers on loopback sockets. Each test runs one scenario. Most scenarios are faults
// that have occurred in production.
//
// The golden tests record all bytes of an exchange with clients and compare them with files below testdata. The helpers
// of each kind of peer are in a separate file (*_helpers_test.go).
package e2e
