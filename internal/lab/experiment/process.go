package experiment

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ErrProcessTimes says that the kernel's file of a process has another form than proc(5) gives.
var ErrProcessTimes = errors.New("can't read the times")

// cpuTime is the CPU time that a process has used, from proc(5).
func cpuTime(pid int) (time.Duration, error) {
	const tick = 10 * time.Millisecond    // USER_HZ is 100 on all platforms that Go runs on
	const userField, systemField = 11, 12 // counted behind the name of the program
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= systemField {
		return 0, fmt.Errorf("proc: %w of %d", ErrProcessTimes, pid)
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * tick, errors.Join(userErr, systemErr)
}

// residentBytes is the resident memory of a process from proc(5); 0: not known.
func residentBytes(pid string) int {
	statm, err := os.ReadFile("/proc/" + pid + "/statm")
	if err != nil {
		return 0
	}
	const residentField = 1
	fields := strings.Fields(string(statm))
	if len(fields) <= residentField {
		return 0
	}
	pages, _ := strconv.Atoi(fields[residentField]) // 0 where it is no number
	return pages * os.Getpagesize()
}
