// Package harness sets up flaxrelay with emulated surroundings on loopback addresses: engines,
// event bus, catalogue, the files that name them, and flaxrelay's own processes.
package harness

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"

	"flaxrelay/internal/lab/fake"
)

// anyLoopbackPort lets the kernel choose a free port.
const anyLoopbackPort = "127.0.0.1:0"

// catalogueService is the name of the engines' service in deploy/postgres.toml.
const catalogueService = "stock-engine"

// onlyOffset is the offset of the only event of the emulated bus.
const onlyOffset = 1

// Options say what to set up.
type Options struct {
	Root         string // the repository, whose deploy files are taken
	Dir          string // for files
	Engines      int    // of each wire protocol
	Work         fake.Work
	HTTPAddr     string // where the HTTP front end listens
	PostgresAddr string // where the PostgreSQL front end listens
	EnableShapes bool   // whether query shapes are enabled in the PostgreSQL front end's file
	Log          *slog.Logger
}

// Environment is the emulated surroundings of flaxrelay. The emulated systems end with Close.
type Environment struct {
	ConfigFile, DeployFile, ShapesFile string // the files of flaxrelay
	listeners                          []net.Listener
}

// New starts the emulated systems and writes the files.
func New(opts Options) (environment *Environment, err error) {
	environment = &Environment{
		ConfigFile: filepath.Join(opts.Dir, "config.json"),
		DeployFile: filepath.Join(opts.Dir, deployFile),
		ShapesFile: filepath.Join(opts.Dir, shapesFile),
	}
	defer func() {
		if err != nil {
			environment.Close()
		}
	}()
	targets, err := environment.startLineEngines(opts)
	if err != nil {
		return nil, err
	}
	instances, err := environment.startPostgresEngines(opts)
	if err != nil {
		return nil, err
	}
	bus, err := environment.listen()
	if err != nil {
		return nil, err
	}
	go fake.ServeEventBus(bus, onlyOffset)
	agent, err := environment.listen()
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(agent, fake.ConsulHandler(catalogueService, instances)) }() // it ends with its listener
	return environment, environment.writeFiles(opts, targets, bus.Addr().String(), agent.Addr().String())
}

// Close ends the emulated systems.
func (e *Environment) Close() {
	for _, listener := range e.listeners {
		_ = listener.Close()
	}
}

// listen opens a listener that ends with the environment.
func (e *Environment) listen() (net.Listener, error) {
	listener, err := fake.Listen(anyLoopbackPort)
	if err == nil {
		e.listeners = append(e.listeners, listener)
	}
	return listener, err
}

func (e *Environment) startLineEngines(opts Options) (targets []target, err error) {
	for i := range opts.Engines {
		listener, err := e.listen()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("s-%08x", i+1)
		go fake.ServeLineProtocol(listener, opts.Work, opts.Log.With("engine", name))
		targets = append(targets, target{UID: name, Endpoint: listener.Addr().String(), AZ: "hall-a", Model: "std-8", State: "in_service"})
	}
	return targets, nil
}

func (e *Environment) startPostgresEngines(opts Options) (instances []fake.Instance, err error) {
	for i := range opts.Engines {
		listener, err := e.listen()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("engine-%d", i+1)
		go fake.ServePostgres(listener, opts.Work, opts.Log.With("engine", name))
		instances = append(instances, fake.Instance{ID: name, Addr: listener.Addr().(*net.TCPAddr)})
	}
	return instances, nil
}
