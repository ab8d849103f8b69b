package main

import "testing"

func TestResourceLimits_DivideDescriptorsAndMemory(t *testing.T) {
	for _, test := range []struct {
		name              string
		limits            resourceLimits
		clients           int
		engineConnections int
		sixthOfMemory     int
	}{
		{"not configured", resourceLimits{}, 736, 248, 32 << 20},
		{"limits of the platform", resourceLimits{memoryMB: 192, descriptors: 1024}, 736, 248, 32 << 20},
		{"small table", resourceLimits{memoryMB: 96, descriptors: 64}, 16, 8, 16 << 20},
		{"table too small", resourceLimits{memoryMB: 6, descriptors: 10}, 8, 4, 1 << 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.limits.maxClients(); got != test.clients {
				t.Errorf("clients: %d, want %d", got, test.clients)
			}
			if got := test.limits.maxEngineConnections(); got != test.engineConnections {
				t.Errorf("connections to engines: %d, want %d", got, test.engineConnections)
			}
			if got := test.limits.memoryFraction(6); got != test.sixthOfMemory {
				t.Errorf("a sixth of the memory: %d bytes, want %d", got, test.sixthOfMemory)
			}
		})
	}
}
