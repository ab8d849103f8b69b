package config

import (
	"fmt"
	"slices"
	"strings"

	"flaxrelay/internal/sqltext"
	"flaxrelay/policy"
)

// maxParameterNumber is the largest number of a parameter in the PostgreSQL protocol,
// which counts them in 16 bits.
const maxParameterNumber = 1<<16 - 1

// validateServer reports faults of the fields that need no settings.
func (p *Postgres) validateServer(v *validator) {
	v.requireAddress("listen", p.Listen)
	v.requireAddress("consul.address", p.Consul.Address)
	v.require(p.Consul.Service != "", "consul.service", "missing; wanted is the name that engines are registered under")
	v.require(p.User != "", "user", "missing; wanted is the name that engines are spoken to in")
	v.require(p.MemoryMB >= 0, "memory_mb", "%d is below 0", p.MemoryMB)
	v.require(p.MaxDescriptors >= 0, "sockets", "%d is below 0", p.MaxDescriptors)
	for i, name := range p.ReadOnlyFunctions {
		field := fmt.Sprintf("read_only_functions[%d]", i)
		v.require(isFunctionName(name), field, "%q is no function's name in small letters, as in price_of or stock.price_of", name)
	}
}

// isFunctionName reports whether a name is one of a function in lower case, with a
// schema or without.
func isFunctionName(name string) bool {
	return name != "" &&
		name == strings.ToLower(name) &&
		!strings.ContainsAny(name, " ()\"'") &&
		strings.Count(name, ".") <= 1
}

// firstWriteClass returns the name of the first class for statements that may write that
// has one, or "" without any.
func firstWriteClass(classes []policy.Class) string {
	for i := range classes {
		if classes[i].Effect == policy.NonIdempotent && classes[i].Name != "" {
			return classes[i].Name
		}
	}
	return ""
}

// validateClasses reports classes that the settings do not have, or whose effect is not
// that of the statements that get them.
func (p *Postgres) validateClasses(v *validator) {
	classes := p.Settings.Policy.Classes
	v.require(findClass(classes, p.DefaultClass) != nil, "default_class", "%q is no class of the settings", p.DefaultClass)
	if p.WriteClass != "" {
		class := findClass(classes, p.WriteClass)
		v.require(class != nil && class.Effect == policy.NonIdempotent, "write_class",
			"%q is no class of the settings whose effect is non_idempotent", p.WriteClass)
	}
	for i := range p.Statements {
		p.Statements[i].validate(v, fmt.Sprintf("statement[%d].", i), classes)
	}
}

// validate reports faults of one statement rule.
func (s *Statement) validate(v *validator, prefix string, classes []policy.Class) {
	class := findClass(classes, s.Class)
	writes := sqltext.EffectOf(s.Prefix, nil).Effect == sqltext.EffectWrites
	v.require(s.Prefix != "", prefix+"starts", "missing; wanted are the words that statements begin with")
	v.require(class != nil, prefix+"class", "%q is no class of the settings", s.Class)
	v.require(s.KeyParameter >= 0 && s.KeyParameter <= maxParameterNumber, prefix+"key",
		"%d is no parameter's number, 1 to 65535", s.KeyParameter)
	v.require(!writes || !s.ReadOnly, prefix+"read_only", "%q writes", s.Prefix)
	v.require(class == nil || !writes || class.Effect != policy.Idempotent, prefix+"class",
		"%q writes, and class %q is safe to repeat", s.Prefix, s.Class)
}

// findClass returns the class of a name, or nil. Of two classes with one name the later
// one counts.
func findClass(classes []policy.Class, name string) *policy.Class {
	for i := range slices.Backward(classes) {
		if classes[i].Name == name {
			return &classes[i]
		}
	}
	return nil
}
