package main

import (
	"math"
	"testing"
)

func TestResourceLimits_DivideDescriptorsAndMemory(t *testing.T) {
	for _, test := range []struct {
		name              string
		limits            resourceLimits
		clients           int
		engineConnections int
		sixthOfMemory     int
		clientReadBudget  int64
		dialedReadBudget  int64
	}{
		{"not configured", resourceLimits{}, 736, 248, 32 << 20, 24 << 20, 16 << 20},
		{"usual limits", resourceLimits{memoryMB: 192, descriptors: 1024}, 736, 248, 32 << 20, 24 << 20, 16 << 20},
		{"small table", resourceLimits{memoryMB: 96, descriptors: 64}, 16, 8, 16 << 20, 12 << 20, 8 << 20},
		{"table too small", resourceLimits{memoryMB: 6, descriptors: 10}, 8, 4, 1 << 20, 2 << 20, 5 << 20},
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
			if got := test.limits.clientReadBudget(); got != test.clientReadBudget {
				t.Errorf("read buffers of clients: %d bytes, want %d", got, test.clientReadBudget)
			}
			if got := test.limits.dialedReadBudget(); got != test.dialedReadBudget {
				t.Errorf("read buffers of engines: %d bytes, want %d", got, test.dialedReadBudget)
			}
		})
	}
}

// Guards against a process that exceeds a small memory limit although its heap is within its share: the mapped program
// file needs the same memory with any limit.
func TestHeapLimit_LeavesRoomForTheProgram(t *testing.T) {
	for memoryMB, wantMB := range map[int]float64{192: 115.2, 96: 57.6, 48: 28.8, 40: 24, 32: 16, 20: 6} {
		got := float64(resourceLimits{memoryMB: memoryMB}.heapLimit()) / bytesPerMB
		if math.Abs(got-wantMB) > 0.01 {
			t.Errorf("%d MB: heap limit %.2f MB, want %.2f", memoryMB, got, wantMB)
		}
	}
}
