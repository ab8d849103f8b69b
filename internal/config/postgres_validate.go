package config

import (
	"fmt"
	"slices"
	"strings"

	"flaxrelay/internal/sqltext"
	"flaxrelay/policy"
)

// maxParameterNumber is the largest number of a parameter. The PostgreSQL protocol counts parameters
// with 16 bits.
const maxParameterNumber = 1<<16 - 1

// unknownClassText is the problem of a field that names a class which is not in the settings.
const unknownClassText = "%q is not a class of the settings"

// validateServer validates the fields that do not depend on the settings.
func (p *Postgres) validateServer(v *validator) {
	v.requireAddress("listen", p.Listen)
	v.requireAddress("consul.address", p.Consul.Address)
	v.require(p.Consul.Service != "", "consul.service", "missing; expected the name of the engines' service")
	v.require(p.User != "", "user", "missing; expected the user that connects to engines")
	v.require(p.MemoryMB >= 0, "memory_mb", "%d is negative", p.MemoryMB)
	v.require(p.MaxDescriptors >= 0, "sockets", "%d is negative", p.MaxDescriptors)
	for i, name := range p.ReadOnlyFunctions {
		field := fmt.Sprintf("read_only_functions[%d]", i)
		v.require(isFunctionName(name), field,
			"%q is not the name of a function in lower case, such as price_of or stock.price_of", name)
	}
}

// isFunctionName reports whether the text has the form of a function name in lower case, with or without
// a schema.
func isFunctionName(name string) bool {
	return name != "" &&
		name == strings.ToLower(name) &&
		!strings.ContainsAny(name, " ()\"'") &&
		strings.Count(name, ".") <= 1
}

// firstWriteClass returns the name of the first class that has the effect non_idempotent and a name, or ""
// if no class has both. The returned class is the default of write_class.
func firstWriteClass(classes []policy.Class) string {
	for i := range classes {
		if classes[i].Effect == policy.NonIdempotent && classes[i].Name != "" {
			return classes[i].Name
		}
	}
	return ""
}

// validateClasses reports classes that are not in the settings, and classes whose effect does not match
// the statements that they are assigned to.
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

// validate reports the invalid fields of the rule. The prefix precedes the names of the fields in errors.
func (r *StatementRule) validate(v *validator, prefix string, classes []policy.Class) {
	class := findClass(classes, r.Class)
	writes := sqltext.EffectOf(r.Prefix, nil).Effect == sqltext.EffectWrites
	v.require(r.Prefix != "", prefix+"starts", "missing; expected the words that statements begin with")
	v.require(class != nil, prefix+"class", unknownClassText, r.Class)
	v.require(r.KeyParameter >= 0 && r.KeyParameter <= maxParameterNumber, prefix+"key",
		"%d is not the number of a parameter, 1 to %d", r.KeyParameter, maxParameterNumber)
	v.require(!writes || !r.ReadOnly, prefix+"read_only", "statements that begin with %q write", r.Prefix)
	v.require(class == nil || !writes || class.Effect != policy.Idempotent, prefix+"class",
		"statements that begin with %q write, but class %q is idempotent", r.Prefix, r.Class)
}

// findClass returns the class with the name, or nil. If several classes have the name, it returns the
// last of them, like lifecycle.Dispatcher.Class.
func findClass(classes []policy.Class, name string) *policy.Class {
	for i := range slices.Backward(classes) {
		if classes[i].Name == name {
			return &classes[i]
		}
	}
	return nil
}
