// Package harness runs flaxrelay against fake systems on loopback addresses. New starts the engines, the
// event bus and Consul of package fake, and writes configuration files with their addresses. Build builds
// flaxrelay, and Start starts a process of flaxrelay. The caller passes the paths of the files to the process as
// arguments.
package harness

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"

	"flaxrelay/internal/lab/fake"
)

// catalogService is the name of the engines' service in deploy/postgres.toml.
const catalogService = "stock-engine"

// onlyEvent is the number of the only event, which the platform configuration contains. The fake bus
// publishes no further events.
const onlyEvent = 1

// Options configure an Environment.
type Options struct {
	Root         string // root directory of the repository, whose deploy files are used
	Dir          string // directory for the written files
	Engines      int    // number of engines for each wire protocol
	Work         fake.Work
	HTTPAddr     string // at which the HTTP front end listens
	PostgresAddr string // at which the PostgreSQL front end listens
	EnableShapes bool   // whether statement shapes are enabled in the PostgreSQL front end's file
	Log          *slog.Logger
}

// Environment consists of the fake systems that flaxrelay connects to, and of its configuration files. The
// caller must close it.
type Environment struct {
	ConfigFile string // the platform configuration of the HTTP front end
	DeployFile string // the deploy file of the PostgreSQL front end
	ShapesFile string // the settings of statement shapes, for both front ends

	listeners []net.Listener // of the fake systems
}

// New starts the fake systems and writes the files.
func New(opts Options) (*Environment, error) {
	environment := &Environment{
		ConfigFile: filepath.Join(opts.Dir, "config.json"),
		DeployFile: filepath.Join(opts.Dir, deployFile),
		ShapesFile: filepath.Join(opts.Dir, shapesFile),
	}
	if err := environment.start(opts); err != nil {
		environment.Close()
		return nil, err
	}
	return environment, nil
}

// start does the work of New. After an error, the caller must close the environment.
func (e *Environment) start(opts Options) error {
	targets, err := e.startLineEngines(opts)
	if err != nil {
		return err
	}
	instances, err := e.startPostgresEngines(opts)
	if err != nil {
		return err
	}
	bus, err := e.listen()
	if err != nil {
		return err
	}
	go fake.ServeEventBus(bus, onlyEvent)
	consul, err := e.listen()
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(consul, fake.ConsulHandler(catalogService, instances)) // returns when the listener is closed
	}()
	return e.writeFiles(opts, targets, bus.Addr().String(), consul.Addr().String())
}

// Close stops the fake systems.
func (e *Environment) Close() {
	for _, listener := range e.listeners {
		_ = listener.Close()
	}
}

// listen opens a listener that is closed with the environment.
func (e *Environment) listen() (net.Listener, error) {
	listener, err := fake.Listen(fake.AnyLoopbackPort)
	if err != nil {
		return nil, err
	}
	e.listeners = append(e.listeners, listener)
	return listener, nil
}

// startLineEngines starts the engines of the line protocol and returns their entries in the endpoint list.
func (e *Environment) startLineEngines(opts Options) ([]fake.Target, error) {
	var targets []fake.Target
	for i := range opts.Engines {
		listener, err := e.listen()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("s-%08x", i+1)
		go fake.ServeLineProtocol(listener, opts.Work, opts.Log.With("engine", name))
		targets = append(targets, fake.Target{
			UID: name, Endpoint: listener.Addr().String(), AZ: "hall-a", Model: "std-8", State: "in_service",
			CapacityHint: 1,
		})
	}
	return targets, nil
}

// startPostgresEngines starts the engines of the PostgreSQL protocol and returns their entries in the
// catalog.
func (e *Environment) startPostgresEngines(opts Options) ([]fake.Instance, error) {
	var instances []fake.Instance
	for i := range opts.Engines {
		listener, err := e.listen()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("engine-%d", i+1)
		go fake.ServePostgres(listener, opts.Work, opts.Log.With("engine", name))
		addr, err := netip.ParseAddrPort(listener.Addr().String())
		if err != nil {
			return nil, fmt.Errorf("harness: %w", err)
		}
		instances = append(instances, fake.Instance{ID: name, Addr: addr})
	}
	return instances, nil
}
