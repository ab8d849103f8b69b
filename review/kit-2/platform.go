package main

import (
	"encoding/json"
	"os"
	"path/filepath"
)

type object = map[string]any

// target is an entry of the list of engines.
func target(id, address, zone string, cell int, bootMS int64) object {
	return object{
		"uid": id, "endpoint": address, "az": zone, "model": "std-8a", "pod_group": cell,
		"state": "in_service", "capacity_hint": 1, "boot_ms": bootMS,
	}
}

// platformSettings are settings like those of the wire page's example.
func platformSettings() object {
	return object{
		"balancers": 1, "zone": "hall-a", "zones": []string{"hall-a", "hall-b", "hall-c"},
		"kinds": []string{"std-8a", "std-8b"}, "membership-mode": "pushed", "round-ms": 5,
		"classes": []object{
			{"name": "lookup", "aim-ms": 500, "aim-stretch": 1.5, "effect": "read_like", "group": "all",
				"hard-limit-ms": 2500, "importance": 1, "late-share": 0, "streamed": false, "window-ms": 5000},
			{"name": "report", "aim-ms": 3000, "aim-stretch": 2.5, "effect": "read_like", "group": "all",
				"hard-limit-ms": 25000, "importance": 10, "late-share": 0.4, "streamed": false, "window-ms": 5000},
		},
		"client-habits": object{"marks-retry": false},
		"contract": object{"answer-slack-ms": 20, "ask-within-ms": 10000, "cold-ms": 15000, "fall-ms": 3000,
			"start-capacity": 0.31, "stop-sending-within-ms": 500, "tip-multiple": 2.5},
		"counted-by": "request",
		"extra": object{"cores-by-kind": []int{8, 8}, "grant-cap": 0.4, "grants-count": false,
			"is-load": []bool{false, false}, "memory-by-kind-mb": []int{16384, 16384}, "parallelism": []int{1, 3},
			"takes-priority": true, "tells-cost": true, "tells-every-ms": 1000, "when-short": "swap",
			"yields-to-loads": []bool{false, false}},
		"goal": object{"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0, "worst-window": 0.2},
		"limits": object{"cancel": false, "connect-timeout-ms": 250, "idle-close-ms": 30000, "max-retry-after-ms": 1000,
			"max-streams": 32, "may-probe": false, "may-tell": false, "most-held": 20000, "most-tries": 3,
			"retry-after": true, "second-copies": false},
		"report": object{"how": "piggyback", "names": []string{"waiting", "active", "x0", "x1"}},
	}
}

// writeConfig writes the configuration of a front end.
func (c *run) writeConfig(name, listen, bus string, memoryMB, sockets int, settings object, targets []object) (string, error) {
	config := object{
		"name": name, "listen": listen, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known": object{"offset": 1, "batch": []object{
			{"offset": 1, "topology": object{"rev": 1, "all": true, "targets": targets}},
		}},
		"settings": settings,
	}
	if bus != "" {
		config["bus"] = bus
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(c.dir, name+".json")
	return file, os.WriteFile(file, text, 0o600)
}
