package sqltext

import "strings"

// stagingSchema is the prefix of the names of schemas that do not belong to a data set.
const stagingSchema = "staging"

// DatasetOf returns the number of the data set that a statement touches: the digits after the last underscore in
// the name of the schema, such as 17 in sales_17.orders. Names in strings and comments are ignored. A name in the
// position of a table (after FROM and the like) takes precedence over names elsewhere, since those may begin with the
// alias of a table, as in o_1.day. ok is false if the statement names no data set.
func DatasetOf(stmt string) (dataset int64, ok bool) {
	l := Lexer{Src: stmt}
	var finder datasetFinder
	for t := l.Next(); t.Kind != EndOfText; t = l.Next() {
		if finder.addToken(&l, t) {
			break
		}
	}
	return finder.dataset, finder.found
}

// datasetFinder finds the data set in a sequence of tokens.
type datasetFinder struct {
	dataset        int64
	found          bool
	certain        bool // the data set comes from a name in the position of a table, so it is final
	afterTableWord bool // the name of a table is expected
	previousName   Token
	previousKind   Kind
}

// addToken updates the finder with the next token of the text, and reports whether the data set is final.
func (f *datasetFinder) addToken(l *Lexer, t Token) (done bool) {
	if f.certain {
		return true
	}
	switch t.Kind {
	case Identifier, QuotedIdentifier:
		if f.previousKind != Dot && t.class()&tableWord != 0 {
			f.afterTableWord = true
			f.previousKind = Operator
			return false
		}
		f.previousName = t // in a.b.c, the last name before a dot is the schema
	case Dot:
		if f.previousKind == Identifier || f.previousKind == QuotedIdentifier {
			f.addQualifier(unquoteIdentifier(l.Text(f.previousName)))
		}
	case LeftParen:
	default:
		f.afterTableWord = false
	}
	f.previousKind = t.Kind
	return f.certain
}

// addQualifier handles a name that qualifies another name.
func (f *datasetFinder) addQualifier(name string) {
	dataset, ok := schemaDataset(name)
	if ok && (f.afterTableWord || !f.found) {
		f.dataset = dataset
		f.found = true
		f.certain = f.afterTableWord
	}
}

// schemaDataset returns the number of the data set at the end of the name of a schema.
func schemaDataset(name string) (dataset int64, ok bool) {
	const maxSuffixLength = 18 // the underscore and 17 digits, which fit into an int64
	underscore := strings.LastIndexByte(name, '_')
	if underscore < 1 || underscore == len(name)-1 || len(name)-underscore > maxSuffixLength {
		return 0, false
	}
	if strings.EqualFold(name[:underscore], stagingSchema) {
		return 0, false
	}
	for _, c := range []byte(name[underscore+1:]) {
		if c < '0' || c > '9' {
			return 0, false
		}
		dataset = dataset*decimal + int64(c-'0')
	}
	return dataset, true
}
