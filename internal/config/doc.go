// Package config reads the files that a front end is configured with: the platform's
// configuration as JSON, with the settings object that the simulation adapter reads too,
// the deploy file of the PostgreSQL front end, and the file of query shape settings.
//
// Reading has three steps, each in files of its own: decoding into a type with the
// file's keys, translation into the types of the other packages, and validation. Faults
// are FieldErrors with the file, the line and the field.
package config
