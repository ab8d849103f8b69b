package config

import (
	"fmt"
	"iter"
	"os"
	"path/filepath"
)

// Postgres is the deploy file of the PostgreSQL front end.
type Postgres struct {
	Listen            string      `toml:"listen"`   // where clients connect; "": the front end is off
	SettingsFile      string      `toml:"settings"` // file of the settings object, relative to this file's folder
	MemoryMB          int         `toml:"memory_mb"`
	MaxDescriptors    int         `toml:"sockets"`
	MaxClients        int         `toml:"most_clients"`
	DefaultClass      string      `toml:"default_class"`
	WriteClass        string      `toml:"write_class"`         // of writing statements without a class; "": the first that is not idempotent
	ReadOnlyFunctions []string    `toml:"read_only_functions"` // names, with their schema where they need one
	Statements        []Statement `toml:"statement"`
	User              string      `toml:"user"` // that the front end connects to engines as
	Database          string      `toml:"database"`
	ConnectTimeoutMS  float64     `toml:"connect_timeout_ms"`
	IdleTimeoutMS     float64     `toml:"idle_close_ms"`
	Consul            Consul      `toml:"consul"`
	Shapes            Shapes      `toml:"shapes"`
	Settings          Settings    `toml:"-"` // read from SettingsFile
}

// Statement gives a class to statements that begin with some words, and names
// the parameter that holds their idempotency key.
type Statement struct {
	Prefix       string `toml:"starts"`
	Class        string `toml:"class"`
	KeyParameter int    `toml:"key"` // from 1; 0: none
	ReadOnly     bool   `toml:"read_only"`
}

// Consul says where the endpoint list is read.
type Consul struct {
	Address string `toml:"address"`
	Service string `toml:"service"`
	Token   string `toml:"token"`
	Zone    string `toml:"zone"` // of engines whose metadata name none
	Kind    string `toml:"kind"` // likewise
}

// LoadPostgres reads the deploy file of the PostgreSQL front end, and the settings that
// it names. Its error reports all faults, each with its file, line and field (see
// FieldErrorsOf). Nothing else is validated or read where the front end is off.
func LoadPostgres(path string) (*Postgres, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("deploy file: %w", err)
	}
	var deploy Postgres
	v := &validator{file: path}
	if !decodeTOML(v, raw, &deploy) {
		return nil, v.err()
	}
	if deploy.Listen != "" {
		deploy.complete(v, filepath.Dir(path))
	}
	if err := v.err(); err != nil {
		return nil, err
	}
	return &deploy, nil
}

// complete validates what the file says and fills in what it leaves out. The classes can
// only be validated once the settings are read from the folder.
func (p *Postgres) complete(v *validator, folder string) {
	p.validateServer(v)
	if p.Database == "" {
		p.Database = p.User
	}
	if !p.loadSettings(v, folder) {
		return
	}
	classes := p.Settings.Policy.Classes
	if p.WriteClass == "" {
		p.WriteClass = firstWriteClass(classes)
	}
	p.validateClasses(v)
	p.Shapes.setDefaults()
	p.Shapes.validate(v, "shapes.", classes)
}

// loadSettings reads the settings that the file names. It reports whether they could be
// decoded.
func (p *Postgres) loadSettings(v *validator, folder string) bool {
	path := p.SettingsFile
	if !filepath.IsAbs(path) {
		path = filepath.Join(folder, path)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		v.report("settings", "%v", err)
		return false
	}
	settings := &validator{file: path}
	decoded := decodeSettings(settings, raw, &p.Settings)
	v.faults = append(v.faults, settings.faults...)
	return decoded
}

// Classes lists the classes that statements are given.
func (p *Postgres) Classes() iter.Seq[string] {
	return func(yield func(string) bool) {
		if !yield(p.DefaultClass) || p.WriteClass != "" && !yield(p.WriteClass) {
			return
		}
		for _, statement := range p.Statements {
			if !yield(statement.Class) {
				return
			}
		}
	}
}
