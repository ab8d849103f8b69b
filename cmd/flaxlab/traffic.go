package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"flaxrelay/internal/lab/traffic"
)

// trafficCommand groups the commands on traffic files.
type trafficCommand struct {
	Generate generateCommand `cmd:"" help:"Write a file of generated traffic."`
	Show     showCommand     `cmd:"" help:"Print records."`
	Stats    statsCommand    `cmd:"" help:"Summarize a file."`
}

// readRecords passes each record of a file to handle, which returns whether to continue. If the file is
// truncated, readRecords passes the complete records and then returns an error.
func readRecords(path string, handle func(*traffic.Record) (more bool)) (traffic.Head, error) {
	file, err := os.Open(path)
	if err != nil {
		return traffic.Head{}, fmt.Errorf("traffic file: %w", err)
	}
	defer closeReadFile(file)
	reader, err := traffic.NewReader(bufio.NewReader(file))
	if err != nil {
		return traffic.Head{}, fmt.Errorf("%s: %w", path, err)
	}
	defer reader.Close()
	for {
		var record traffic.Record
		switch err := reader.Next(&record); {
		case errors.Is(err, io.EOF):
			return reader.Head, nil
		case err != nil:
			return reader.Head, fmt.Errorf("%s: %w", path, err)
		}
		if !handle(&record) {
			return reader.Head, nil
		}
	}
}
