package experiment

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ErrProcessTimes reports a /proc/PID/stat that does not have the format of proc(5).
var ErrProcessTimes = errors.New("unexpected format of /proc/PID/stat")

// cpuTime returns the CPU time that a process has used, from proc(5).
func cpuTime(pid int) (time.Duration, error) {
	const (
		tick        = 10 * time.Millisecond // USER_HZ is 100 on all platforms that Go runs on
		userField   = 11                    // index among the fields after the name of the program
		systemField = 12
	)
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("CPU time of process %d: %w", pid, err)
	}
	_, rest, ok := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= systemField {
		return 0, fmt.Errorf("CPU time of process %d: %w", pid, ErrProcessTimes)
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * tick, errors.Join(userErr, systemErr)
}

// residentBytes returns the resident memory of a process from proc(5), or 0 if it is not known.
func residentBytes(pid int) int {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	const residentField = 1
	fields := strings.Fields(string(statm))
	if len(fields) <= residentField {
		return 0
	}
	pages, _ := strconv.Atoi(fields[residentField]) // 0 if the field is not a number
	return pages * os.Getpagesize()
}
