package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"flaxrelay/internal/config"
	"flaxrelay/internal/discovery/consul"
	"flaxrelay/internal/engine/pgclient"
	"flaxrelay/internal/frontend/pgserver"
	"flaxrelay/internal/sqltext"
	"flaxrelay/internal/stmtstats"
)

// engineReuseDelay is how long a connection to an engine takes no query after a response. An engine that sends a
// response twice sends the second copy some milliseconds late.
const engineReuseDelay = 50 * time.Millisecond

var errNoPostgresListenAddress = errors.New("deploy file: listen: missing")

// unknownClassError reports that a reloaded deploy file names a class that was not in the settings when
// the program started. A reload does not apply the settings file.
type unknownClassError struct{ class string }

// Error implements error.
func (e *unknownClassError) Error() string {
	return fmt.Sprintf("deploy file: class %q is not in the settings with which the program started", e.class)
}

// listenPostgres sets up the server for the PostgreSQL wire protocol and opens its listener. Consul is
// the source of the endpoint list. If the deploy file has no listen address, s.frontEnd remains nil.
func (s *server) listenPostgres(ctx context.Context, path string) error {
	deploy, err := config.LoadPostgres(path)
	if err != nil {
		return err
	}
	if deploy.Listen == "" {
		return nil
	}
	limits := postgresLimits(deploy)
	// The deploy file has no seed. Process ids differ between the replicas on one host.
	seed := uint64(os.Getpid())
	if err := s.startCore(deploy.Settings.Policy, seed, limits); err != nil {
		return err
	}
	s.dispatcher.SetEngineClient(pgclient.New(s.loop, s.dispatcher, pgclient.Options{
		User:             deploy.User,
		Database:         deploy.Database,
		ConnectTimeout:   config.FromMilliseconds(deploy.ConnectTimeoutMS),
		IdleTimeout:      config.FromMilliseconds(deploy.IdleTimeoutMS),
		MaxBufferedBytes: limits.memoryFraction(engineBufferDivisor),
		ReuseDelay:       engineReuseDelay,
	}, s.counters, s.logger))
	watcher := consul.New(s.loop.Post, s.dispatcher, s.counters, s.logger)
	watcher.Watch(ctx, consulOptions(deploy.Consul))
	options := statisticsOptions{shapes: &deploy.Shapes, classes: deploy.Settings.Policy.Classes, limits: limits}
	if err := s.startStatistics(options); err != nil {
		return err
	}
	frontEnd := pgserver.New(s.loop, s.dispatcher, postgresOptions(deploy, s.statistics), s.counters)
	s.frontEnd = frontEnd
	reloader := &postgresReloader{server: s, path: path, deploy: deploy, frontEnd: frontEnd, watcher: watcher}
	s.reload = func() error { return reloader.reload(ctx) }
	return frontEnd.Listen(deploy.Listen)
}

// postgresReloader applies changes of the deploy file while the server runs. The event loop's goroutine
// owns it.
type postgresReloader struct {
	server   *server
	path     string
	deploy   *config.Postgres // the file that is in use
	frontEnd *pgserver.Server
	watcher  *consul.Watcher
}

// reload reads the deploy file again and applies its default class, write class, read-only functions,
// statement rules, client limit and Consul service. If reload returns an error, nothing has changed.
func (r *postgresReloader) reload(ctx context.Context) error {
	next, err := config.LoadPostgres(r.path)
	if err != nil {
		return err
	}
	if next.Listen == "" {
		return errNoPostgresListenAddress
	}
	for _, class := range next.ClassNames() {
		if _, known := r.server.dispatcher.Class(class); !known {
			return &unknownClassError{class: class}
		}
	}
	r.frontEnd.SetOptions(postgresOptions(next, r.server.statistics))
	if next.Consul != r.deploy.Consul {
		r.watcher.Watch(ctx, consulOptions(next.Consul))
	}
	r.deploy = next
	return nil
}

// postgresLimits returns the resource limits that the deploy file sets.
func postgresLimits(deploy *config.Postgres) resourceLimits {
	return resourceLimits{memoryMB: deploy.MemoryMB, descriptors: deploy.MaxDescriptors}
}

// postgresOptions returns the options that the deploy file sets for the front end.
func postgresOptions(deploy *config.Postgres, estimator *stmtstats.Service) pgserver.Options {
	limits := postgresLimits(deploy)
	options := pgserver.Options{
		DefaultClass:      deploy.DefaultClass,
		WriteClass:        deploy.WriteClass,
		ReadOnlyFunctions: sqltext.Functions{},
		MaxClients:        limits.maxClients(),
		MaxBufferedBytes:  limits.memoryFraction(openPortalsDivisor),
		MaxStatementBytes: limits.memoryFraction(statementsDivisor),
		Estimator:         estimator,
	}
	for _, name := range deploy.ReadOnlyFunctions {
		options.ReadOnlyFunctions[name] = true
	}
	if deploy.MaxClients > 0 {
		options.MaxClients = min(options.MaxClients, deploy.MaxClients)
	}
	for _, statement := range deploy.Statements {
		options.Rules = append(options.Rules, pgserver.Rule{
			Prefix:       statement.Prefix,
			Class:        statement.Class,
			KeyParameter: statement.KeyParameter,
			ReadOnly:     statement.ReadOnly,
		})
	}
	return options
}

// consulOptions returns the options that the deploy file sets for the watcher.
func consulOptions(settings config.Consul) consul.Options {
	return consul.Options{
		Address: settings.Address,
		Service: settings.Service,
		Token:   settings.Token,
		Zone:    settings.Zone,
		Kind:    settings.Kind,
	}
}
