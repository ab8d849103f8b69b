package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// waitSampleInterval is the time between two samples of a waitSampler.
	waitSampleInterval = 20 * time.Millisecond
	// minProcessorWait is the shortest wait that counts in a sample. Shorter waits occur on an idle machine too.
	minProcessorWait = 5 * time.Millisecond
)

// processorWait is the time that processes of the run waited for a processor within a span.
type processorWait struct {
	span
	duration time.Duration
}

// waitSampler measures how long threads that are ready to run wait for a processor. On a busy machine these waits delay
// the front ends, the engines and this process, so that the times that the checker compares differ without an error of
// the front end. A waitSampler is not safe for concurrent use.
type waitSampler struct {
	// groups returns the ids of the processes of the run: one group for the front ends, one for the engines and so on.
	// A request passes through one process of each group, one after the other.
	groups func() [][]int
	// threadWaits returns how long each thread of a process has waited for a processor since the thread started, by
	// thread id.
	threadWaits func(pid int) map[int]time.Duration

	previous map[int]time.Duration // the total wait of each thread in the last sample
}

// newWaitSampler returns a sampler whose first sample begins now.
func newWaitSampler(groups func() [][]int) *waitSampler {
	s := &waitSampler{groups: groups, threadWaits: readThreadWaits}
	s.sample()
	return s
}

// run takes a sample after each waitSampleInterval until stop is closed. It passes each sample above 0 to record.
func (s *waitSampler) run(record func(processorWait), stop <-chan struct{}) {
	from := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(waitSampleInterval):
		}
		duration := s.sample()
		now := time.Now()
		if duration > 0 {
			record(processorWait{span{from, now}, duration})
		}
		from = now
	}
}

// sample determines the longest wait of a thread in each group since the previous sample, and returns the sum over the
// groups. Waits below minProcessorWait do not count. Apart from such waits, the sum is at least as long as the delay of
// a request, because a request passes through one process of each group.
func (s *waitSampler) sample() (sum time.Duration) {
	current := map[int]time.Duration{}
	for _, pids := range s.groups() {
		longest := time.Duration(0)
		for _, pid := range pids {
			for thread, wait := range s.threadWaits(pid) {
				current[thread] = wait
				longest = max(longest, wait-s.previous[thread])
			}
		}
		if longest >= minProcessorWait {
			sum += longest
		}
	}
	s.previous = current
	return sum
}

// readThreadWaits implements waitSampler.threadWaits. It returns no threads for a process that has exited.
func readThreadWaits(pid int) map[int]time.Duration {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the pattern is valid
	waits := map[int]time.Duration{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		thread, err := strconv.Atoi(filepath.Base(filepath.Dir(file)))
		if err != nil {
			continue
		}
		if wait, ok := parseWait(string(text)); ok {
			waits[thread] = wait
		}
	}
	return waits
}

// parseWait returns the second field of a schedstat file: the time, in nanoseconds, that a thread was ready to run and
// waited for a processor.
func parseWait(schedstat string) (wait time.Duration, ok bool) {
	const waitField = 1
	fields := strings.Fields(schedstat)
	if len(fields) <= waitField {
		return 0, false
	}
	nanoseconds, err := strconv.ParseInt(fields[waitField], 10, 64)
	return time.Duration(nanoseconds), err == nil
}
