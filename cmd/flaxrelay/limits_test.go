package main

import "testing"

// The budget of descriptors and memory keeps its figures, also for tables that are very
// small and for limits that are not configured.
func TestResourceLimits(t *testing.T) {
	for _, tt := range []struct {
		name                       string
		limits                     resourceLimits
		clients, engineConnections int
		sixthOfMemory              int
	}{
		{"not configured", resourceLimits{}, 736, 248, 32 << 20},
		{"of the platform", resourceLimits{memoryMB: 192, descriptors: 1024}, 736, 248, 32 << 20},
		{"small table", resourceLimits{memoryMB: 96, descriptors: 64}, 16, 8, 16 << 20},
		{"table too small", resourceLimits{memoryMB: 6, descriptors: 10}, 8, 4, 1 << 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.limits.maxClients(); got != tt.clients {
				t.Errorf("clients: %d, want %d", got, tt.clients)
			}
			if got := tt.limits.maxEngineConnections(); got != tt.engineConnections {
				t.Errorf("connections to engines: %d, want %d", got, tt.engineConnections)
			}
			if got := tt.limits.memoryFraction(6); got != tt.sixthOfMemory {
				t.Errorf("a sixth of the memory: %d bytes, want %d", got, tt.sixthOfMemory)
			}
		})
	}
}
