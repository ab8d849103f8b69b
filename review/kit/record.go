package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case. Each line begins with the seconds since the start of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// add writes one line to the record.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.out.Flush()
}

// say writes one line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
