// Package growthtest checks how the processor time of a function grows with the size of its input. Input of clients,
// engines and discovery is handled on the event loop's goroutine, which serves nobody else meanwhile: a cost that grows
// faster than the input lets one peer stop the front end. Only tests import this package.
package growthtest

import (
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Factor is the ratio of the two sizes that are compared.
	Factor = 8
	// maxGrowth is the largest accepted ratio of the two times. A linear cost grows by Factor and a quadratic one by
	// its square; the rest is for caches, the garbage collector and the growth of buffers.
	maxGrowth = 3 * Factor
	// negligible is the time up to which the larger input is accepted whatever the ratio is.
	negligible = 500 * time.Microsecond
	// rounds is how often each size is measured. The shortest time counts.
	rounds = 3
	// maxMeasurements is how often both sizes are measured at most, until the times show a linear cost. The garbage
	// collector and other processes can only add time: a cost that grows faster is found in every measurement.
	maxMeasurements = 4
)

// Times are the processor times of one function.
type Times struct {
	Small time.Duration // for the given size
	Large time.Duration // for Factor times that size
}

// Linear reports whether the times show that the cost grows no faster than the size.
func (t Times) Linear() bool { return t.Large <= negligible || t.Large <= maxGrowth*t.Small }

// Measure measures run for an input of the given size and of Factor times that size. The function prepare makes the
// input and is not measured. Only the processor time of run's own thread counts, so that other processes do not matter.
func Measure(size int, prepare func(size int) (run func())) (times Times) {
	for range maxMeasurements {
		times = Times{Small: shortest(size, prepare), Large: shortest(Factor*size, prepare)}
		if times.Linear() {
			break
		}
	}
	return times
}

// CheckLinear fails the test if the cost of run grows faster than the size of its input.
func CheckLinear(tb testing.TB, size int, prepare func(size int) (run func())) {
	tb.Helper()
	if times := Measure(size, prepare); !times.Linear() {
		tb.Errorf("%d: %v, %d: %v of processor time; the cost must be linear",
			size, times.Small, Factor*size, times.Large)
	}
}

// shortest returns the shortest time of several runs.
func shortest(size int, prepare func(size int) (run func())) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	least := time.Duration(0)
	for round := range rounds {
		run := prepare(size)
		startedAt := threadTime()
		run()
		if elapsed := threadTime() - startedAt; round == 0 || elapsed < least {
			least = elapsed
		}
	}
	return least
}

// threadTime returns the processor time of the calling thread.
func threadTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		panic(err) // the clock exists on every Linux
	}
	return time.Duration(now.Nano())
}
