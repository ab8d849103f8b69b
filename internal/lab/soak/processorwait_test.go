package soak

import (
	"os"
	"runtime"
	"sync"
	"testing"
	"time"
)

// The checker extends its tolerance by the processor waits between the two times that it compares.
func TestCheck_AllowsForProcessorWaits(t *testing.T) {
	waits := func(from, until, duration time.Duration) func(*builtHistory) {
		return func(h *builtHistory) {
			h.addProcessorWait(processorWait{span{after(from), after(until)}, duration})
		}
	}
	tooMuchTime := func(h *builtHistory) { // 160 ms more than the remaining time
		h.addServed("r", classLookup)
		h.addAttempt("r", 200*ms, 240*ms, responseServed, func(a *attempt) { a.remainingTime = 960 * ms })
	}
	overlap := func(h *builtHistory) { // by 110 ms
		h.addServed("r", classLookup)
		h.addAttempt("r", 10*ms, 210*ms, responseNone)
		h.addAttempt("r", 100*ms, 300*ms, responseServed)
	}
	late := func(h *builtHistory) { // 210 ms after the disconnect
		h.addServed("r", classLookup).outcome = outcomeDisconnected
		h.addAttempt("r", 310*ms, 0, responseNone)
	}
	both := func(first, second func(*builtHistory)) func(*builtHistory) {
		return func(h *builtHistory) {
			first(h)
			second(h)
		}
	}
	runCheckerCases(t, []checkerCase{
		{"remaining time, waited enough", both(tooMuchTime, waits(0, 20*ms, 10*ms)), nil},
		{"remaining time, two waits", both(tooMuchTime, both(waits(0, 20*ms, 5*ms), waits(20*ms, 40*ms, 5*ms))), nil},
		{"remaining time, waited less", both(tooMuchTime, waits(0, 20*ms, 9*ms)), []string{"remaining-time r"}},
		{"remaining time, waited before", both(tooMuchTime, waits(-20*ms, 0, 10*ms)), []string{"remaining-time r"}},
		{"remaining time, waited after", both(tooMuchTime, waits(200*ms, 220*ms, 10*ms)), []string{"remaining-time r"}},
		{"overlap, waited enough", both(overlap, waits(200*ms, 220*ms, 10*ms)), nil},
		{"overlap, waited less", both(overlap, waits(200*ms, 220*ms, 9*ms)), []string{"single-in-flight r"}},
		{"overlap, waited before", both(overlap, waits(80*ms, 100*ms, 10*ms)), []string{"single-in-flight r"}},
		{"disconnected, waited enough", both(late, waits(300*ms, 320*ms, 10*ms)), nil},
		{"disconnected, waited less", both(late, waits(300*ms, 320*ms, 9*ms)), []string{"send-after-completion r"}},
		{"disconnected, waited before", both(late, waits(80*ms, 100*ms, 10*ms)), []string{"send-after-completion r"}},
	})
}

// While more threads are ready to run than there are processors, a sample counts their waits.
func TestSample_CountsWaitsOfABusyProcess(t *testing.T) {
	const threadsPerProcessor = 3
	threads := threadsPerProcessor * runtime.NumCPU()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(threads))
	sampler := newWaitSampler(func() [][]int { return [][]int{{os.Getpid()}} })
	until := time.Now().Add(10 * minProcessorWait * threadsPerProcessor)
	var busy sync.WaitGroup
	for range threads {
		busy.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for time.Now().Before(until) {
			}
		})
	}
	busy.Wait()
	if wait := sampler.sample(); wait < minProcessorWait {
		t.Errorf("the sample counts %v", wait)
	}
}

// A sample is the sum of the longest wait of each group since the previous sample. Short waits do not count. The wait
// of a new thread counts in full.
func TestSample_SumsTheLongestWaitOfEachGroup(t *testing.T) {
	waits := map[int]map[int]time.Duration{ // by process and thread
		1: {10: 100 * ms, 11: 200 * ms},
		2: {20: 300 * ms},
		3: {30: 400 * ms},
	}
	sampler := newWaitSampler(func() [][]int { return [][]int{{1, 2}, {3}} })
	sampler.threadWaits = func(pid int) map[int]time.Duration { return waits[pid] }
	sampler.sample()
	steps := []struct {
		change func()
		want   time.Duration
	}{
		{func() {}, 0},
		{func() { waits[1][10] += 6 * ms }, 6 * ms},
		{func() { waits[1][11] += 7 * ms; waits[2][20] += 8 * ms }, 8 * ms},
		{func() { waits[1][10] += 7 * ms; waits[3][30] += 9 * ms }, 16 * ms},
		{func() { waits[1][10] += 4 * ms; waits[3][30] += 5 * ms }, 5 * ms},
		{func() { waits[3][31] = 10 * ms }, 10 * ms},
		{func() { delete(waits, 3) }, 0},
	}
	for i, step := range steps {
		step.change()
		if got := sampler.sample(); got != step.want {
			t.Errorf("step %d: %v, want %v", i, got, step.want)
		}
	}
}

func TestParseWait_ReadsTheSecondField(t *testing.T) {
	for _, c := range []struct {
		schedstat string
		wait      time.Duration
		ok        bool
	}{
		{"269604 1500 1\n", 1500, true},
		{"269604 0 1\n", 0, true},
		{"269604 x 1\n", 0, false},
		{"269604\n", 0, false},
		{"", 0, false},
	} {
		wait, ok := parseWait(c.schedstat)
		if wait != c.wait || ok != c.ok {
			t.Errorf("%q: %v, %t, want %v, %t", c.schedstat, wait, ok, c.wait, c.ok)
		}
	}
}
