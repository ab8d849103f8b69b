package main

import (
	"errors"
	"os"

	"flaxrelay/internal/config"
	"flaxrelay/internal/discovery/eventbus"
	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/frontend/httpserver"
)

// listenAddressVariable is the environment variable that overrides the listen address of the
// configuration.
const listenAddressVariable = "LB_LISTEN"

var (
	errNoListenAddress = errors.New("configuration: listen: missing")
	errNoEventBus      = errors.New("configuration: bus: missing")
)

// listenHTTP sets up the server for the platform's HTTP protocol and opens its listener. Engines speak
// the line protocol; the event bus is the source of the endpoint list.
func (s *server) listenHTTP(configPath, shapesPath string) error {
	configuration, err := loadHTTPConfig(configPath)
	if err != nil {
		return err
	}
	limits := resourceLimits{memoryMB: configuration.MemoryMB, descriptors: configuration.MaxDescriptors}
	if err := s.startCore(configuration.Settings.Policy, configuration.Seed, limits); err != nil {
		return err
	}
	engines := lineclient.New(s.loop, s.dispatcher, configuration.Settings, s.counters, s.logger)
	engines.MaxConnections = limits.maxEngineConnections()
	s.dispatcher.SetEngineClient(engines)
	for _, update := range configuration.InitialUpdates {
		s.dispatcher.UpdateEndpoints(update.Mode, update.Engines)
	}
	if configuration.EventBus != "" {
		watcher := s.watchEventBus(configuration)
		s.reload = func() error { return reloadEventBus(watcher, configPath) }
	}
	if err := s.startHTTPStatistics(shapesPath, configuration, limits); err != nil {
		return err
	}
	frontEnd := httpserver.New(s.loop, s.dispatcher, httpserver.Options{
		MaxClients:       limits.maxClients(),
		MaxBufferedBytes: limits.memoryFraction(bufferedResultsDivisor),
		Estimator:        s.statistics,
	}, s.counters)
	s.frontEnd = frontEnd
	return frontEnd.Listen(configuration.Listen)
}

// loadHTTPConfig reads the configuration. The environment may override its listen address.
func loadHTTPConfig(path string) (*config.Platform, error) {
	configuration, err := config.LoadPlatform(path)
	if err != nil {
		return nil, err
	}
	if address := os.Getenv(listenAddressVariable); address != "" {
		configuration.Listen = address
	}
	if configuration.Listen == "" {
		return nil, errNoListenAddress
	}
	return configuration, nil
}

// watchEventBus starts a watcher of the event bus. The watcher requests the events after the last event in the
// configuration.
func (s *server) watchEventBus(configuration *config.Platform) *eventbus.Watcher {
	settings := &configuration.Settings
	watcher := eventbus.New(s.loop, s.dispatcher, eventbus.Options{
		Address:   configuration.EventBus,
		LastEvent: configuration.LastEvent,
		Zones:     settings.Zones,
		Kinds:     settings.Kinds,
		// The watcher must learn that an engine is draining well within the drain grace.
		MaxBackoff: settings.Policy.Rules.DrainGrace / 2,
	}, s.counters, s.logger)
	watcher.Start()
	return watcher
}

// reloadEventBus reads the configuration file again and moves the watcher to the event bus that it names.
// If reloadEventBus returns an error, nothing has changed.
func reloadEventBus(watcher *eventbus.Watcher, configPath string) error {
	next, err := config.LoadPlatform(configPath)
	if err != nil {
		return err
	}
	if next.EventBus == "" {
		return errNoEventBus
	}
	watcher.MoveTo(next.EventBus)
	return nil
}

// startHTTPStatistics starts statement statistics with the shape settings of the file. If the path is "",
// statement statistics stay off.
func (s *server) startHTTPStatistics(path string, configuration *config.Platform, limits resourceLimits) error {
	if path == "" {
		return nil
	}
	shapes, err := config.LoadShapes(path)
	if err != nil {
		return err
	}
	return s.startStatistics(statisticsOptions{
		shapes:            shapes,
		classes:           configuration.Settings.Policy.Classes,
		limits:            limits,
		enginesReportWork: configuration.Settings.Policy.ReportsCost,
	})
}
