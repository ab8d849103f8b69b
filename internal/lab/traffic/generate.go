package traffic

import (
	"fmt"
	"io"

	"flaxrelay/internal/lab/workload"
)

// progressStep is the number of records after which Generate reports its progress.
const progressStep = 1000

// Generate writes a file with the given number of statements of a workload. rate is the nominal rate of the
// arrivals, in statements per second. After every progressStep records, Generate calls progress with
// progressStep. progress may be nil.
func Generate(
	out io.Writer, options workload.Options, number int, rate float64, process ArrivalProcess, progress func(int),
) error {
	arrivals, err := newArrivals(process, rate, number, options.Seed)
	if err != nil {
		return err
	}
	head := Head{
		Seed: options.Seed, ModelOptions: modelOptions(options), RatePerSecond: rate, Arrivals: string(process),
		Records: number,
	}
	file, err := newWriter(out, head)
	if err != nil {
		return err
	}
	generator := workload.New(options, number)
	for i := range number {
		record := RecordOf(generator.Next())
		record.ArrivalMicros = arrivals.next()
		if err := file.add(&record); err != nil {
			return err
		}
		if progress != nil && i%progressStep == progressStep-1 {
			progress(progressStep)
		}
	}
	return file.close()
}

// modelOptions formats the options for the head of a file. The names in the text are part of the format and
// differ from the names of the fields.
func modelOptions(o workload.Options) string {
	const format = "{Seed:%v Templates:%v OneOff:%v Hard:%v Writes:%v DriftAt:%v Drift:%v HintNoise:%v HintMissing:%v}"
	return fmt.Sprintf(format, o.Seed, o.Templates, o.OneOffShare, o.HardShare, o.WriteShare,
		o.DriftFrom, o.DriftFactor, o.HintSigma, o.HintMissingShare)
}

// RecordOf returns the record of a statement, without an arrival time.
func RecordOf(s workload.Statement) Record {
	return Record{
		Statement: s.Text, Values: s.Values, Formats: s.Formats, Types: s.Types,
		HintWorkMS: s.HintWorkMS, HintMB: s.HintMB, Key: s.Key,
		Class: s.Class, HardCase: s.HardCase, Template: s.Template,
		WorkMS: s.WorkMS, MemoryMB: s.MemoryMB, Weight: s.Weight,
	}
}
