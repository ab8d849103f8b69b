package main

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// zshPrologue makes zsh accept a completion script for bash.
const zshPrologue = "autoload -U +X bashcompinit && bashcompinit\n"

// completionScript is the format string of a bash script. The branches of the case statement, which are
// inserted at %s, set the words that may follow the commands typed so far.
const completionScript = `_flaxrelay() {
  local path="" word words="" i
  for ((i = 1; i < COMP_CWORD; i++)); do
    word="${COMP_WORDS[i]}"
    case "$word" in -*) ;; *) path="${path:+$path }$word" ;; esac
  done
  case "$path" in
%s  esac
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _flaxrelay flaxrelay
`

// completionCommand prints a completion script for a shell.
type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh" default:"bash" help:"One of ${enum}."`
}

// Run prints a script that it generates from the grammar of the command line.
//
//nolint:unparam // kong only calls a Run method that returns an error
func (c *completionCommand) Run(parser *kong.Kong) error {
	var cases strings.Builder
	writeCompletionCases(&cases, parser.Model.Node, "")
	script := fmt.Sprintf(completionScript, cases.String())
	if c.Shell == "zsh" {
		script = zshPrologue + script
	}
	fmt.Print(script)
	return nil
}

// writeCompletionCases writes a branch of the case statement for the command and for each of its
// subcommands. The path contains the command's name after the names of the commands above it. For the program
// itself, it is "".
func writeCompletionCases(cases *strings.Builder, command *kong.Node, path string) {
	var words []string
	for _, child := range command.Children {
		words = append(words, child.Name)
	}
	for _, group := range command.AllFlags(true) {
		for _, flag := range group {
			words = append(words, "--"+flag.Name)
		}
	}
	fmt.Fprintf(cases, "    %q) words=%q ;;\n", strings.TrimSpace(path), strings.Join(words, " "))
	for _, child := range command.Children {
		writeCompletionCases(cases, child, path+" "+child.Name)
	}
}
