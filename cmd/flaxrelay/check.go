package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"flaxrelay/internal/config"
)

// checkCommand validates files.
type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Configuration or settings (JSON), deploy files or shape settings (TOML)."`
}

// Run prints all errors in the files. It returns errReported if there are any.
func (c *checkCommand) Run() error {
	errorCount := 0
	for _, path := range c.Files {
		fieldErrors := config.FieldErrorsOf(checkFile(path))
		for _, fieldError := range fieldErrors {
			fmt.Println(fieldError.Error())
		}
		if len(fieldErrors) == 0 {
			fmt.Printf("%s: good\n", path)
		}
		errorCount += len(fieldErrors)
	}
	if errorCount > 0 {
		fmt.Printf("%d errors\n", errorCount)
		return errReported
	}
	return nil
}

// checkFile validates a file. The name and the content of the file determine how it is read.
func checkFile(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return config.FieldError{File: path, Problem: err.Error()}
	}
	switch detectFileKind(path, raw) {
	case platformFile:
		_, err = config.LoadPlatform(path)
	case settingsFile:
		err = config.CheckSettings(path, raw)
	case postgresFile:
		_, err = config.LoadPostgres(path)
	case shapesFile:
		_, err = config.LoadShapes(path)
	case unknownFile:
		err = config.FieldError{File: path, Problem: "unknown kind of file: the extension is neither .json nor .toml"}
	}
	return err
}

// fileKind is a kind of file that the check command can read.
type fileKind int

const (
	unknownFile  fileKind = iota
	platformFile          // configuration of the HTTP front end
	settingsFile          // only the settings object
	postgresFile          // deploy file of the PostgreSQL front end
	shapesFile            // shape settings of the HTTP front end
)

// detectFileKind derives the kind of a file from its extension and its keys. A file that is not JSON and
// has a listen address or a Consul table is a deploy file; its extension need not be .toml.
func detectFileKind(path string, raw []byte) fileKind {
	extension := filepath.Ext(path)
	switch {
	case extension == ".json" && bytes.Contains(raw, []byte(`"settings"`)):
		return platformFile
	case extension == ".json":
		return settingsFile
	case bytes.Contains(raw, []byte("listen")) || bytes.Contains(raw, []byte("[consul]")):
		return postgresFile
	case extension == ".toml":
		return shapesFile
	}
	return unknownFile
}
