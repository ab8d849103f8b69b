package experiment

import (
	"errors"
	"io"

	"flaxrelay/internal/lab/traffic"
	"flaxrelay/internal/lab/workload"
)

// ReadRecords reads all records of a file. If the file is damaged or truncated, it returns the records
// before the fault with the error.
func ReadRecords(r io.Reader) ([]traffic.Record, traffic.Head, error) {
	reader, err := traffic.NewReader(r)
	if err != nil {
		return nil, traffic.Head{}, err
	}
	defer reader.Close()
	var all []traffic.Record
	for {
		var record traffic.Record
		err := reader.Next(&record)
		if errors.Is(err, io.EOF) {
			return all, reader.Head, nil
		}
		if err != nil {
			return all, reader.Head, err
		}
		all = append(all, record)
	}
}

// GenerateRecords generates the records of a workload in memory.
func GenerateRecords(options workload.Options, number int) []traffic.Record {
	generator := workload.New(options, number)
	all := make([]traffic.Record, number)
	for i := range all {
		all[i] = traffic.RecordOf(generator.Next())
	}
	return all
}
