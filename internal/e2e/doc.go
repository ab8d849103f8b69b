// Package e2e holds the tests of whole paths: clients, engines and rosters are
// scripted peers on loopback sockets, one story for each failure met.
package e2e
