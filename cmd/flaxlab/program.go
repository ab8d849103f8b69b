package main

import (
	"context"
	"fmt"
	"os"

	"flaxrelay/internal/lab/harness"
)

// repositoryRoot is the working directory, because flaxlab is run from the root of the repository.
const repositoryRoot = "."

// programFlag sets the path of the flaxrelay program.
type programFlag struct {
	Flaxrelay string `placeholder:"FILE" help:"The flaxrelay program; by default it is built from this directory."`
}

// frontEndProgram returns the path that the flag sets. Without the flag, it builds the program into a
// temporary directory. The caller must call cleanUp.
func (f *programFlag) frontEndProgram(ctx context.Context) (program string, cleanUp func(), err error) {
	if f.Flaxrelay != "" {
		return f.Flaxrelay, func() {}, nil
	}
	directory, err := os.MkdirTemp("", "flaxlab-")
	if err != nil {
		return "", nil, fmt.Errorf("directory for the program: %w", err)
	}
	cleanUp = func() { removeDirectory(directory) }
	program, err = harness.Build(ctx, repositoryRoot, directory)
	if err != nil {
		cleanUp()
		return "", nil, err
	}
	return program, cleanUp, nil
}
