package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// writePostgresFiles writes a deploy file and a settings file like those in deploy/, with other addresses.
// change may change the settings object.
func (c *run) writePostgresFiles(listen, consulAddress string, change func(settings map[string]any)) (string, error) {
	text, err := os.ReadFile(filepath.Join(c.root, "deploy/postgres-settings.json"))
	if err != nil {
		return "", err
	}
	var settings map[string]any
	if err := json.Unmarshal(text, &settings); err != nil {
		return "", err
	}
	change(settings)
	text, _ = json.MarshalIndent(settings, "", " ")
	if err := os.WriteFile(filepath.Join(c.dir, "settings.json"), text, 0o600); err != nil {
		return "", err
	}
	deploy := fmt.Sprintf(`listen = %q
settings = "settings.json"
memory_mb = 192
sockets = 1024
most_clients = 300
user = "ringwood"
database = "register"
connect_timeout_ms = 1000
idle_close_ms = 60000
default_class = "lookup"
write_class = "write"
read_only_functions = []

[[statement]]
starts = "INSERT INTO"
class = "load"
key = 1

[consul]
address = %q
service = "engine"
zone = "hall-a"
kind = "std-8"

[shapes]
enabled = false
`, listen, consulAddress)
	file := filepath.Join(c.dir, "postgres.toml")
	return file, os.WriteFile(file, []byte(deploy), 0o600)
}

// classOf returns a class of a settings object.
func classOf(settings map[string]any, name string) map[string]any {
	for _, class := range settings["classes"].([]any) {
		if class := class.(map[string]any); class["name"] == name {
			return class
		}
	}
	return nil
}
