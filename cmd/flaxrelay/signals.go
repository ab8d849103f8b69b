package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signalQueueLength is the capacity of the channel of signals. Package signal drops signals when the
// channel is full. An operator sends far fewer than signalQueueLength signals while one signal is handled.
const signalQueueLength = 16

// subscribeSignals returns a channel that receives the signals that control the server.
func subscribeSignals() <-chan os.Signal {
	received := make(chan os.Signal, signalQueueLength)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	return received
}

// handleSignals posts the action of each signal to the event loop. Only the first SIGTERM or SIGINT
// starts a graceful shutdown; later ones are ignored.
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
