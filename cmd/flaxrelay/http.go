package main

import (
	"errors"
	"os"

	"flaxrelay/internal/config"
	"flaxrelay/internal/discovery/eventbus"
	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/frontend/httpserver"
	"flaxrelay/policy"
)

// listenAddressVariable is the environment variable that overrides the listen address of the
// configuration.
const listenAddressVariable = "LB_LISTEN"

var (
	errNoListenAddress = errors.New("configuration: listen: missing")
	errNoEventBus      = errors.New("configuration: bus: missing")
)

// listenHTTP composes the server for the platform's HTTP protocol and opens its listener. Engines
// speak the line protocol; the event bus is the source of the endpoint list.
func (s *server) listenHTTP(configPath, shapesPath string) error {
	settings, err := loadHTTPConfig(configPath)
	if err != nil {
		return err
	}
	limits := resourceLimits{memoryMB: settings.MemoryMB, descriptors: settings.MaxDescriptors}
	if err := s.startCore(settings.Settings.Policy, settings.Seed, limits); err != nil {
		return err
	}
	engines := lineclient.New(s.loop, s.dispatcher, settings.Settings, s.counters, s.logger)
	engines.MaxConnections = limits.maxEngineConnections()
	s.dispatcher.SetEngineClient(engines)
	s.applyInitialEvents(settings.InitialEvents)
	if settings.EventBus != "" {
		s.watchEventBus(settings, configPath)
	}
	if err := s.learnHTTPShapes(shapesPath, settings, limits); err != nil {
		return err
	}
	frontEnd := httpserver.New(s.loop, s.dispatcher, httpserver.Options{
		MaxClients:       limits.maxClients(),
		MaxBufferedBytes: limits.memoryFraction(bufferedResultsDivisor),
		Estimator:        s.shapes,
	}, s.counters)
	s.frontEnd = frontEnd
	return frontEnd.Listen(settings.Listen)
}

// loadHTTPConfig reads the configuration and applies the environment's listen address, if it is set.
func loadHTTPConfig(path string) (*config.Config, error) {
	settings, err := config.Load(path)
	if err != nil {
		return nil, err
	}
	if address := os.Getenv(listenAddressVariable); address != "" {
		settings.Listen = address
	}
	if settings.Listen == "" {
		return nil, errNoListenAddress
	}
	return settings, nil
}

// applyInitialEvents applies the changes of the endpoint list that the configuration contains.
func (s *server) applyInitialEvents(events []config.Event) {
	for _, event := range events {
		mode := policy.UpdateDelta
		if event.Full {
			mode = policy.UpdateFull
		}
		s.dispatcher.UpdateEndpoints(mode, event.Engines)
	}
}

// watchEventBus follows the event bus from the last event of the configuration. A reload moves the
// watcher to the event bus that the file names then.
func (s *server) watchEventBus(settings *config.Config, configPath string) {
	watcher := eventbus.New(
		s.loop, settings.EventBus, settings.LastEvent, settings.Settings.Zones, settings.Settings.Kinds,
		s.dispatcher, s.counters, s.logger,
	)
	if grace := settings.Settings.Policy.Rules.DrainGrace; grace > 0 {
		// The notice that an engine drains must arrive well within its grace period.
		watcher.MaxBackoff = grace / 2
	}
	watcher.Start()
	s.reload = func() error {
		next, err := config.Load(configPath)
		if err != nil {
			return err
		}
		if next.EventBus == "" {
			return errNoEventBus
		}
		watcher.MoveTo(next.EventBus)
		return nil
	}
}

// learnHTTPShapes starts the statement statistics that the file configures. Without a file they are
// off.
func (s *server) learnHTTPShapes(path string, settings *config.Config, limits resourceLimits) error {
	if path == "" {
		return nil
	}
	shapes, err := config.LoadShapes(path)
	if err != nil {
		return err
	}
	return s.learnShapes(shapeLearning{
		shapes:             shapes,
		classes:            settings.Settings.Policy.Classes,
		limits:             limits,
		enginesReportCosts: settings.Settings.Policy.ReportsCost,
	})
}
