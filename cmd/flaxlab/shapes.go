package main

type shapesCommand struct {
	Evaluate evaluateCommand `name:"evaluate" cmd:"" help:"Judge classes and estimates on recorded traffic, with each part switched off in turn."`
	Flood    floodCommand    `name:"flood" cmd:"" help:"Flood the cache with shapes that come once while others recur."`
	Cost     costCommand     `name:"cost" cmd:"" help:"Measure the CPU that reading shapes adds to a request through the PostgreSQL front."`
}

// bytesPerKB and bytesPerMB turn counts of bytes into the units of the tables.
const (
	bytesPerKB = 1 << 10
	bytesPerMB = 1 << 20
)
