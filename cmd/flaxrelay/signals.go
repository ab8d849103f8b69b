package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signalQueueLength is far more than the number of signals that an operator sends while one is
// handled. Package signal drops signals when the channel is full.
const signalQueueLength = 16

// subscribeSignals returns a channel that receives the signals that control the server.
func subscribeSignals() <-chan os.Signal {
	received := make(chan os.Signal, signalQueueLength)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	return received
}

// handleSignals posts the action of each signal to the event loop. Only the first SIGTERM or SIGINT
// starts a graceful shutdown; others are ignored.
func (s *server) handleSignals(received <-chan os.Signal) {
	shutdownStarted := false
	for sig := range received {
		switch {
		case sig == syscall.SIGUSR1:
			s.loop.Post(s.printCounters)
		case sig == syscall.SIGHUP:
			s.loop.Post(s.reloadFile)
		case !shutdownStarted:
			shutdownStarted = true
			s.loop.Post(s.startShutdown)
		}
	}
}
