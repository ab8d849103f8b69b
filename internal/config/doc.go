// Package config reads the files that configure a front end:
//
//   - LoadPlatform reads the platform's configuration (JSON), which contains the settings object.
//   - CheckSettings validates a file that contains only the settings object (JSON). The simulator's
//     messages contain the settings object too.
//   - LoadPostgres reads the deploy file of the PostgreSQL front end (TOML).
//   - LoadShapes reads the file of shape settings of the HTTP front end (TOML).
//
// A file is read in three steps: decoding into types whose tags are the keys of the file, translation
// into the types of other packages, and validation. Invalid files are reported as FieldErrors with file,
// line and field.
package config
