package main

import (
	"errors"
	"fmt"
	"runtime/debug"
)

var errNoBuildInfo = errors.New("the program was built without version information")

// versionCommand prints the version of the program.
type versionCommand struct{}

// Run prints the module version, the VCS revision and the Go version of the build.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errNoBuildInfo
	}
	revision := "unknown"
	modified := ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = ", modified"
		}
	}
	fmt.Printf("%s %s (%s%s), %s\n", programName, info.Main.Version, revision, modified, info.GoVersion)
	return nil
}
