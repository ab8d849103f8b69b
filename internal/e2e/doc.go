// Package e2e holds the end-to-end tests. A front end runs in the test's process (frontEnd); its clients, engines and
// endpoint lists are scripted peers on loopback sockets. Each test plays one scenario, most of them a fault that
// production has met.
//
// The golden tests record all bytes of an exchange with clients and compare them with files below testdata. The helpers
// of each peer stand in a file of their own (*_helpers_test.go).
package e2e
