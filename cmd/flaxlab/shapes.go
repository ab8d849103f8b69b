package main

// shapesCommand groups the experiments with statement shapes.
type shapesCommand struct {
	Evaluate evaluateCommand `cmd:"" help:"Evaluate classes and estimates on recorded traffic."`
	Flood    floodCommand    `cmd:"" help:"Flood the cache with shapes that occur once."`
	Cost     costCommand     `cmd:"" help:"Measure the CPU time that shapes add to a request."`
}

// bytesPerKB and bytesPerMB convert bytes to the units of the tables.
const (
	bytesPerKB = 1 << 10
	bytesPerMB = 1 << 20
)
