// Package config reads the files that configure a front end: the platform's configuration (JSON),
// the settings object, which the platform's configuration contains and the simulation adapter reads
// too (JSON), the deploy file of the PostgreSQL front end (TOML) and the file of shape settings of
// the HTTP front end (TOML). LoadPlatform, CheckSettings, LoadPostgres and LoadShapes read one of them
// each.
//
// Reading has three steps, each in files of its own: decoding into types whose tags are the keys of
// the file, translation into the types of other packages, and validation. Faults are reported as
// FieldErrors with file, line and field.
package config
