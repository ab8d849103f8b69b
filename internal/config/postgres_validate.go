package config

import (
	"fmt"
	"slices"
	"strings"

	"flaxrelay/internal/sqltext"
	"flaxrelay/policy"
)

// maxParameterNumber is the largest number of a parameter. The PostgreSQL protocol has 16 bits for
// it.
const maxParameterNumber = 1<<16 - 1

// unknownClassText is the problem of a field that names a class which the settings do not have.
const unknownClassText = "%q is not a class of the settings"

// validateServer reports faults of the fields that can be checked without the settings.
func (p *Postgres) validateServer(v *validator) {
	v.requireAddress("listen", p.Listen)
	v.requireAddress("consul.address", p.Consul.Address)
	v.require(p.Consul.Service != "", "consul.service", "missing; expected the name of the engines' service")
	v.require(p.User != "", "user", "missing; expected the user that connects to engines")
	v.require(p.MemoryMB >= 0, "memory_mb", "%d is below 0", p.MemoryMB)
	v.require(p.MaxDescriptors >= 0, "sockets", "%d is below 0", p.MaxDescriptors)
	for i, name := range p.ReadOnlyFunctions {
		field := fmt.Sprintf("read_only_functions[%d]", i)
		v.require(isFunctionName(name), field,
			"%q is not the name of a function in lower case, as in price_of or stock.price_of", name)
	}
}

// isFunctionName reports whether a name is that of a function in lower case, with or without a
// schema.
func isFunctionName(name string) bool {
	return name != "" &&
		name == strings.ToLower(name) &&
		!strings.ContainsAny(name, " ()\"'") &&
		strings.Count(name, ".") <= 1
}

// firstWriteClass returns the name of the first class that is not idempotent and has a name, or "" if
// there is none. It is the default of write_class.
func firstWriteClass(classes []policy.Class) string {
	for i := range classes {
		if classes[i].Effect == policy.NonIdempotent && classes[i].Name != "" {
			return classes[i].Name
		}
	}
	return ""
}

// validateClasses reports classes that the settings do not have, and classes whose effect does not
// fit the statements that get them.
func (p *Postgres) validateClasses(v *validator) {
	classes := p.Settings.Policy.Classes
	v.require(findClass(classes, p.DefaultClass) != nil, "default_class", unknownClassText, p.DefaultClass)
	if p.WriteClass != "" {
		class := findClass(classes, p.WriteClass)
		v.require(class != nil && class.Effect == policy.NonIdempotent, "write_class",
			"%q is not a class of the settings whose effect is non_idempotent", p.WriteClass)
	}
	for i := range p.Statements {
		p.Statements[i].validate(v, fmt.Sprintf("statement[%d].", i), classes)
	}
}

// validate reports faults of one statement rule.
func (r *StatementRule) validate(v *validator, prefix string, classes []policy.Class) {
	class := findClass(classes, r.Class)
	writes := sqltext.EffectOf(r.Prefix, nil).Effect == sqltext.EffectWrites
	v.require(r.Prefix != "", prefix+"starts", "missing; expected the words that statements begin with")
	v.require(class != nil, prefix+"class", unknownClassText, r.Class)
	v.require(r.KeyParameter >= 0 && r.KeyParameter <= maxParameterNumber, prefix+"key",
		"%d is not the number of a parameter, 1 to %d", r.KeyParameter, maxParameterNumber)
	v.require(!writes || !r.ReadOnly, prefix+"read_only", "%q writes", r.Prefix)
	v.require(class == nil || !writes || class.Effect != policy.Idempotent, prefix+"class",
		"%q writes, but class %q is idempotent", r.Prefix, r.Class)
}

// findClass returns the class with the name, or nil. If several classes have the name it returns the
// last one, like lifecycle.Dispatcher.Class.
func findClass(classes []policy.Class, name string) *policy.Class {
	for i := range slices.Backward(classes) {
		if classes[i].Name == name {
			return &classes[i]
		}
	}
	return nil
}
