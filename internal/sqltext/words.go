package sqltext

// use is what a key word means to the readers of this package, as bits.
type keywordClass uint16

const (
	// reserved words are no function's name: a parenthesis behind one is no call.
	reservedWord keywordClass = 1 << iota
	// typeName words are types or forms of PostgreSQL's own with a parenthesis
	// behind them, which no function's name can be either.
	typeWord
	// infix words stand between two values. Behind one that is over they are no call.
	infixWord
	// writes: the word begins or holds something that changes what is stored.
	writingWord
	// beforeTable: a table's name follows.
	tableWord
	// reader words begin a statement that may be a reading one.
	readingWord
)

// word is a key word's number; 0: none. A word has one also where no reader asks for it
// by name, as the normal form sets a space behind any that has.
type keyword uint8

const (
	keywordNone keyword = iota
	keywordAll
	keywordAnalyze
	keywordAnd
	keywordAny
	keywordArray
	keywordAs
	keywordBetween
	keywordBy
	keywordDelete
	keywordExplain
	keywordFilter
	keywordFor
	keywordFrom
	keywordGroup
	keywordHaving
	keywordIlike
	keywordIn
	keywordInsert
	keywordInto
	keywordIs
	keywordJoin
	keywordKey
	keywordLike
	keywordLimit
	keywordMaterialized
	keywordMerge
	keywordNo
	keywordNot
	keywordNull
	keywordOffset
	keywordOn
	keywordOperator
	keywordOr
	keywordOrder
	keywordOver
	keywordPartition
	keywordRecursive
	keywordSelect
	keywordSet
	keywordSets
	keywordShare
	keywordSome
	keywordTable
	keywordUpdate
	keywordUsing
	keywordValues
	keywordWhere
	keywordWith
	keywordWithin
	keywordGrouping
	keywordUnion
	keywordDistinct
	keywordNullif
	keywordSimilar
	keywordSymmetric
	keywordNatural
	keywordFetch
	keywordFirst
	keywordNext
	keywordTrue
	keywordFalse
	keywordInterval
	keywordCoalesce
)

type keywordEntry struct {
	text string
	keyword keyword
	class  keywordClass
}

// lexicon lists the key words (appendix C of the manual). Words that are no reserved
// ones stand here only with the use that the readers make of them.
var lexicon = []keywordEntry{
	{"all", keywordAll, reservedWord}, {"analyse", keywordAnalyze, reservedWord}, {"analyze", keywordAnalyze, reservedWord}, {"and", keywordAnd, reservedWord},
	{"any", keywordAny, reservedWord}, {"array", keywordArray, reservedWord}, {"as", keywordAs, reservedWord}, {"asc", 0, reservedWord},
	{"asymmetric", 0, reservedWord}, {"both", 0, reservedWord}, {"case", 0, reservedWord}, {"cast", 0, reservedWord},
	{"check", 0, reservedWord}, {"collate", 0, reservedWord}, {"column", 0, reservedWord}, {"constraint", 0, reservedWord},
	{"create", 0, reservedWord}, {"default", 0, reservedWord}, {"deferrable", 0, reservedWord}, {"desc", 0, reservedWord},
	{"distinct", keywordDistinct, reservedWord}, {"do", 0, reservedWord}, {"else", 0, reservedWord}, {"end", 0, reservedWord},
	{"except", 0, reservedWord}, {"false", keywordFalse, reservedWord}, {"fetch", keywordFetch, reservedWord}, {"for", keywordFor, reservedWord},
	{"foreign", 0, reservedWord}, {"from", keywordFrom, reservedWord | tableWord}, {"grant", 0, reservedWord}, {"group", keywordGroup, reservedWord},
	{"having", keywordHaving, reservedWord}, {"in", keywordIn, reservedWord}, {"initially", 0, reservedWord}, {"intersect", 0, reservedWord},
	{"into", keywordInto, reservedWord | tableWord | writingWord}, {"lateral", 0, reservedWord}, {"leading", 0, reservedWord},
	{"limit", keywordLimit, reservedWord}, {"not", keywordNot, reservedWord}, {"null", keywordNull, reservedWord}, {"offset", keywordOffset, reservedWord},
	{"on", keywordOn, reservedWord}, {"only", 0, reservedWord | tableWord}, {"or", keywordOr, reservedWord}, {"order", keywordOrder, reservedWord},
	{"placing", 0, reservedWord}, {"primary", 0, reservedWord}, {"references", 0, reservedWord}, {"returning", 0, reservedWord},
	{"select", keywordSelect, reservedWord | readingWord}, {"some", keywordSome, reservedWord}, {"symmetric", keywordSymmetric, reservedWord},
	{"table", keywordTable, reservedWord | tableWord | readingWord}, {"then", 0, reservedWord}, {"to", 0, reservedWord}, {"trailing", 0, reservedWord},
	{"true", keywordTrue, reservedWord}, {"union", keywordUnion, reservedWord}, {"unique", 0, reservedWord}, {"using", keywordUsing, reservedWord},
	{"variadic", 0, reservedWord}, {"when", 0, reservedWord}, {"where", keywordWhere, reservedWord}, {"window", 0, reservedWord},
	{"with", keywordWith, reservedWord | readingWord},
	{"current_catalog", 0, reservedWord}, {"current_date", 0, reservedWord}, {"current_role", 0, reservedWord},
	{"current_time", 0, reservedWord}, {"current_timestamp", 0, reservedWord}, {"current_user", 0, reservedWord},
	{"localtime", 0, reservedWord}, {"localtimestamp", 0, reservedWord}, {"session_user", 0, reservedWord}, {"user", 0, reservedWord},

	{"between", keywordBetween, typeWord}, {"bigint", 0, typeWord}, {"bit", 0, typeWord}, {"boolean", 0, typeWord},
	{"char", 0, typeWord}, {"character", 0, typeWord}, {"coalesce", keywordCoalesce, typeWord}, {"dec", 0, typeWord},
	{"decimal", 0, typeWord}, {"exists", 0, typeWord}, {"extract", 0, typeWord}, {"float", 0, typeWord},
	{"greatest", 0, typeWord}, {"grouping", keywordGrouping, typeWord}, {"int", 0, typeWord}, {"integer", 0, typeWord},
	{"interval", keywordInterval, typeWord}, {"least", 0, typeWord}, {"national", 0, typeWord}, {"nchar", 0, typeWord},
	{"none", 0, typeWord}, {"normalize", 0, typeWord}, {"nullif", keywordNullif, typeWord}, {"numeric", 0, typeWord},
	{"overlay", 0, typeWord}, {"position", 0, typeWord}, {"precision", 0, typeWord}, {"real", 0, typeWord},
	{"row", 0, typeWord}, {"smallint", 0, typeWord}, {"substring", 0, typeWord}, {"time", 0, typeWord},
	{"timestamp", 0, typeWord}, {"treat", 0, typeWord}, {"trim", 0, typeWord}, {"values", keywordValues, typeWord | readingWord},
	{"varchar", 0, typeWord},

	{"filter", keywordFilter, infixWord}, {"ilike", keywordIlike, infixWord}, {"is", keywordIs, infixWord}, {"join", keywordJoin, infixWord | tableWord},
	{"like", keywordLike, infixWord}, {"over", keywordOver, infixWord}, {"overlaps", 0, infixWord}, {"similar", keywordSimilar, infixWord},

	{"delete", keywordDelete, writingWord}, {"insert", keywordInsert, writingWord}, {"merge", keywordMerge, writingWord}, {"update", keywordUpdate, writingWord | tableWord},
	{"alter", 0, 0}, {"call", 0, 0}, {"drop", 0, 0}, {"truncate", 0, 0},
	{"by", keywordBy, 0}, {"explain", keywordExplain, readingWord}, {"first", keywordFirst, 0}, {"key", keywordKey, 0}, {"materialized", keywordMaterialized, 0},
	{"natural", keywordNatural, 0}, {"next", keywordNext, 0}, {"no", keywordNo, 0}, {"operator", keywordOperator, 0}, {"partition", keywordPartition, 0},
	{"recursive", keywordRecursive, 0}, {"set", keywordSet, 0}, {"sets", keywordSets, 0}, {"share", keywordShare, 0}, {"show", 0, readingWord},
	{"within", keywordWithin, 0},
}

// tableSize is a power of two well above the number of key words.
const keywordTableSize = 1024

// words finds key words by the hash that the lexer makes while it reads a name.
var keywordsByHash = func() (t [keywordTableSize]keywordEntry) {
	for _, e := range lexicon {
		for i := nameHash(e.text, 0, len(e.text)); ; i++ {
			if p := &t[i%keywordTableSize]; p.text == "" {
				*p = e
				break
			}
		}
	}
	return t
}()

// longestWord is the length of the longest key word.
const maxKeywordLength = 17

// lookup finds a name among the key words, and gives its use and number.
func lookupKeyword(name string, what identifierInfo) identifierInfo {
	for i := uint32(what); ; i++ {
		e := &keywordsByHash[i%keywordTableSize]
		if len(e.text) == 0 {
			return 0
		}
		if len(e.text) == len(name) && (name == e.text || what>>56 != 0 && matchesFolded(name, e.text)) {
			return identifierInfo(e.class)<<32 | identifierInfo(e.keyword)<<48
		}
	}
}

// equal is same for texts whose lengths may differ.
func equalFold(s, small string) bool { return len(s) == len(small) && matchesFolded(s, small) }

// same compares a text without regard to case with one in small letters.
func matchesFolded(s, small string) bool {
	for i := range len(small) {
		if foldedChars[s[i]] != small[i] {
			return false
		}
	}
	return true
}
