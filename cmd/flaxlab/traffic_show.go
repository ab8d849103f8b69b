package main

import (
	"fmt"
	"time"

	"flaxrelay/internal/lab/traffic"
)

// showCommand prints the records of a traffic file.
type showCommand struct {
	File string `arg:"" help:"The file."`
	From int    `default:"0" help:"Number of the first record to print, counted from 0."`
	Most int    `default:"20" help:"Maximum number of records."`
	Hard bool   `help:"Print only the hard cases."`
}

// Run prints one line for each record.
func (c *showCommand) Run() error {
	read := 0
	shown := 0
	_, err := readRecords(c.File, func(record *traffic.Record) bool {
		read++
		if read > c.From && (!c.Hard || record.HardCase != "") {
			fmt.Println(formatRecord(record))
			shown++
		}
		return shown < c.Most
	})
	return err
}

// maxStatementWidth is the length, in bytes, to which longer statements are abbreviated.
const maxStatementWidth = 200

// formatRecord formats a record as one line.
func formatRecord(record *traffic.Record) string {
	const ellipsis = "..."
	statement := record.Statement
	if len(statement) > maxStatementWidth {
		statement = statement[:maxStatementWidth-len(ellipsis)] + ellipsis
	}
	arrival := float64(record.ArrivalMicros) / float64(time.Second/time.Microsecond)
	line := fmt.Sprintf("%10.3fs %-7s %6.0f ms %5.0f MB  hint %6.0f  %s",
		arrival, record.Class, record.WorkMS, record.MemoryMB, record.HintWorkMS, statement)
	if len(record.Values) > 0 {
		line += fmt.Sprintf("  [%d bound]", len(record.Values))
	}
	if record.HardCase != "" {
		line += fmt.Sprintf("  (%s)", record.HardCase)
	}
	return line
}
