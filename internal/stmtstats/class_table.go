package stmtstats

import (
	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/policy"
)

// classTable looks up the policy's classes by name and by their index in the cost model. The cost model's list
// contains only the classes of read-only statements. A classTable is immutable and safe for concurrent use.
type classTable struct {
	indexes  map[string]int     // index in the policy's list; by class name
	threads  map[string]float64 // number of threads that a request uses, at least 1; by class name
	readOnly []policy.Class     // the classes of the cost model, in its order
}

func newClassTable(classes []policy.Class, modelClasses []costmodel.Class) classTable {
	table := classTable{indexes: map[string]int{}, threads: map[string]float64{}}
	for i, class := range classes {
		table.indexes[class.Name] = i
		table.threads[class.Name] = max(class.Threads, 1)
	}
	for _, class := range modelClasses {
		table.readOnly = append(table.readOnly, classes[table.indexes[class.Name]])
	}
	return table
}

// index returns the index of a class in the policy's list, or costmodel.NoClass if the list has no such class.
func (t *classTable) index(name string) int {
	if index, ok := t.indexes[name]; ok {
		return index
	}
	return costmodel.NoClass
}
