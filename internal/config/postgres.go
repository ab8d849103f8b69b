package config

import (
	"fmt"
	"os"
	"path/filepath"
)

// Postgres is the deploy file of the PostgreSQL front end.
type Postgres struct {
	// Listen is the address for clients; "": the front end is off.
	Listen string `toml:"listen"`
	// SettingsFile is the path of the settings file, relative to the directory of the deploy file.
	SettingsFile string `toml:"settings"`
	// Settings is the content of the settings file.
	Settings Settings `toml:"-"`

	// MemoryMB, MaxDescriptors and MaxClients limit the process; 0 selects a default.
	MemoryMB       int `toml:"memory_mb"`
	MaxDescriptors int `toml:"sockets"`
	MaxClients     int `toml:"most_clients"`

	// Statements are the rules that assign classes to statements. The first rule that matches a
	// statement applies.
	Statements []StatementRule `toml:"statement"`
	// DefaultClass is the class of statements that get no class from a rule or from their leading
	// comment.
	DefaultClass string `toml:"default_class"`
	// WriteClass replaces an idempotent DefaultClass for statements that may write. If WriteClass is "",
	// firstWriteClass chooses the class.
	WriteClass string `toml:"write_class"`
	// ReadOnlyFunctions are functions, besides those of pg_catalog, that write nothing. Their names
	// include the schema if the statements include it.
	ReadOnlyFunctions []string `toml:"read_only_functions"`

	// User is the PostgreSQL role that the front end uses on engines.
	User string `toml:"user"`
	// Database is the database on engines; "": the database that has the name of the user.
	Database         string  `toml:"database"`
	ConnectTimeoutMS float64 `toml:"connect_timeout_ms"`
	IdleTimeoutMS    float64 `toml:"idle_close_ms"`

	Consul Consul `toml:"consul"`
	Shapes Shapes `toml:"shapes"`
}

// StatementRule assigns a class to statements that begin with the same words, and names the parameter
// that contains their idempotency key.
type StatementRule struct {
	Prefix       string `toml:"starts"` // the words that the statements begin with
	Class        string `toml:"class"`
	KeyParameter int    `toml:"key"`       // number of the parameter, counted from 1; 0: none
	ReadOnly     bool   `toml:"read_only"` // the operator declares that the statements write nothing
}

// Consul names the Consul service whose instances are the engines.
type Consul struct {
	Address string `toml:"address"`
	Service string `toml:"service"`
	Token   string `toml:"token"`
	Zone    string `toml:"zone"` // zone of engines whose metadata has none
	Kind    string `toml:"kind"` // kind of engines whose metadata has none
}

// LoadPostgres reads the deploy file of the PostgreSQL front end, and the settings file that is named in it.
// The returned error contains all errors in the files, with their lines and fields (see FieldErrorsOf).
// If the front end is off, the deploy file is decoded but not validated.
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

// complete validates the deploy file, reads the settings file and sets the defaults of missing fields.
// The path of the settings file may be relative to the directory. Classes are validated after the
// settings have been read, because the settings define them.
func (p *Postgres) complete(v *validator, directory string) {
	p.validateServer(v)
	if p.Database == "" {
		p.Database = p.User
	}
	if !p.loadSettings(v, directory) {
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

// loadSettings reads the settings file, and reports the errors in it to the validator. It returns false
// if the file could not be read or decoded.
func (p *Postgres) loadSettings(v *validator, directory string) bool {
	path := p.SettingsFile
	if !filepath.IsAbs(path) {
		path = filepath.Join(directory, path)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		v.report("settings", "%v", err)
		return false
	}
	settingsValidator := &validator{file: path}
	decoded := decodeSettings(settingsValidator, raw, &p.Settings)
	v.fieldErrors = append(v.fieldErrors, settingsValidator.fieldErrors...)
	return decoded
}

// ClassNames returns the names of the classes that the file assigns to statements.
func (p *Postgres) ClassNames() []string {
	names := []string{p.DefaultClass}
	if p.WriteClass != "" {
		names = append(names, p.WriteClass)
	}
	for _, statement := range p.Statements {
		names = append(names, statement.Class)
	}
	return names
}
