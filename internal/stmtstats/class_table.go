package stmtstats

import (
	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/policy"
)

// classTable holds what the service needs to know of the policy's classes. It is read-only.
type classTable struct {
	indexes  map[string]int     // in the policy's list, by name
	threads  map[string]float64 // that a request of the class uses, at least 1; by name
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

// index returns the index of a class, or costmodel.NoClass where the policy has no class of that name.
func (t *classTable) index(name string) int {
	if index, ok := t.indexes[name]; ok {
		return index
	}
	return costmodel.NoClass
}
