package sqltext

// keywordClass holds the properties of a key word that this package uses, as bits.
type keywordClass uint16

const (
	// reservedWord: the word can't be the name of a function, so a parenthesis after it does not begin a call.
	reservedWord keywordClass = 1 << iota
	// typeWord: the word is a type or a built-in construct with a parenthesis after it. Such a word can't be the
	// name of a function either.
	typeWord
	// infixWord: the word is an operator between two operands, or it is FILTER or OVER, which follow a call. After a
	// complete operand or call, a parenthesis after the word does not begin a call.
	infixWord
	// writingWord: the word begins a statement or a clause that changes stored data.
	writingWord
	// tableWord: the name of a table follows.
	tableWord
	// readingWord: the word begins a statement that may be read-only.
	readingWord
)

// keyword is the number of a key word; 0: none. In the normal form, a space separates a key word that has a number from
// a parenthesis after it. Some key words, such as OFFSET, have a number only for that reason: without the number, the
// normal forms in stored snapshots would no longer match their statements.
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

// keywords lists the key words of PostgreSQL (appendix C of its manual). Words that are not reserved are listed
// only if this package needs them.
var keywords = []keywordEntry{
	{"all", keywordAll, reservedWord},
	{"analyse", keywordAnalyze, reservedWord},
	{"analyze", keywordAnalyze, reservedWord},
	{"and", keywordAnd, reservedWord},
	{"any", keywordAny, reservedWord},
	{"array", keywordArray, reservedWord},
	{"as", keywordAs, reservedWord},
	{"asc", keywordNone, reservedWord},
	{"asymmetric", keywordNone, reservedWord},
	{"both", keywordNone, reservedWord},
	{"case", keywordNone, reservedWord},
	{"cast", keywordNone, reservedWord},
	{"check", keywordNone, reservedWord},
	{"collate", keywordNone, reservedWord},
	{"column", keywordNone, reservedWord},
	{"constraint", keywordNone, reservedWord},
	{"create", keywordNone, reservedWord},
	{"default", keywordNone, reservedWord},
	{"deferrable", keywordNone, reservedWord},
	{"desc", keywordNone, reservedWord},
	{"distinct", keywordDistinct, reservedWord},
	{"do", keywordNone, reservedWord},
	{"else", keywordNone, reservedWord},
	{"end", keywordNone, reservedWord},
	{"except", keywordNone, reservedWord},
	{"false", keywordFalse, reservedWord},
	{"fetch", keywordFetch, reservedWord},
	{"for", keywordFor, reservedWord},
	{"foreign", keywordNone, reservedWord},
	{"from", keywordFrom, reservedWord | tableWord},
	{"grant", keywordNone, reservedWord},
	{"group", keywordGroup, reservedWord},
	{"having", keywordHaving, reservedWord},
	{"in", keywordIn, reservedWord},
	{"initially", keywordNone, reservedWord},
	{"intersect", keywordNone, reservedWord},
	{"into", keywordInto, reservedWord | tableWord | writingWord},
	{"lateral", keywordNone, reservedWord},
	{"leading", keywordNone, reservedWord},
	{"limit", keywordLimit, reservedWord},
	{"not", keywordNot, reservedWord},
	{"null", keywordNull, reservedWord},
	{"offset", keywordOffset, reservedWord},
	{"on", keywordOn, reservedWord},
	{"only", keywordNone, reservedWord | tableWord},
	{"or", keywordOr, reservedWord},
	{"order", keywordOrder, reservedWord},
	{"placing", keywordNone, reservedWord},
	{"primary", keywordNone, reservedWord},
	{"references", keywordNone, reservedWord},
	{"returning", keywordNone, reservedWord},
	{"select", keywordSelect, reservedWord | readingWord},
	{"some", keywordSome, reservedWord},
	{"symmetric", keywordSymmetric, reservedWord},
	{"table", keywordTable, reservedWord | tableWord | readingWord},
	{"then", keywordNone, reservedWord},
	{"to", keywordNone, reservedWord},
	{"trailing", keywordNone, reservedWord},
	{"true", keywordTrue, reservedWord},
	{"union", keywordUnion, reservedWord},
	{"unique", keywordNone, reservedWord},
	{"using", keywordUsing, reservedWord},
	{"variadic", keywordNone, reservedWord},
	{"when", keywordNone, reservedWord},
	{"where", keywordWhere, reservedWord},
	{"window", keywordNone, reservedWord},
	{"with", keywordWith, reservedWord | readingWord},
	{"current_catalog", keywordNone, reservedWord},
	{"current_date", keywordNone, reservedWord},
	{"current_role", keywordNone, reservedWord},
	{"current_time", keywordNone, reservedWord},
	{"current_timestamp", keywordNone, reservedWord},
	{"current_user", keywordNone, reservedWord},
	{"localtime", keywordNone, reservedWord},
	{"localtimestamp", keywordNone, reservedWord},
	{"session_user", keywordNone, reservedWord},
	{"user", keywordNone, reservedWord},

	{"between", keywordBetween, typeWord},
	{"bigint", keywordNone, typeWord},
	{"bit", keywordNone, typeWord},
	{"boolean", keywordNone, typeWord},
	{"char", keywordNone, typeWord},
	{"character", keywordNone, typeWord},
	{"coalesce", keywordCoalesce, typeWord},
	{"dec", keywordNone, typeWord},
	{"decimal", keywordNone, typeWord},
	{"exists", keywordNone, typeWord},
	{"extract", keywordNone, typeWord},
	{"float", keywordNone, typeWord},
	{"greatest", keywordNone, typeWord},
	{"grouping", keywordGrouping, typeWord},
	{"int", keywordNone, typeWord},
	{"integer", keywordNone, typeWord},
	{"interval", keywordInterval, typeWord},
	{"least", keywordNone, typeWord},
	{"national", keywordNone, typeWord},
	{"nchar", keywordNone, typeWord},
	{"none", keywordNone, typeWord},
	{"normalize", keywordNone, typeWord},
	{"nullif", keywordNullif, typeWord},
	{"numeric", keywordNone, typeWord},
	{"overlay", keywordNone, typeWord},
	{"position", keywordNone, typeWord},
	{"precision", keywordNone, typeWord},
	{"real", keywordNone, typeWord},
	{"row", keywordNone, typeWord},
	{"smallint", keywordNone, typeWord},
	{"substring", keywordNone, typeWord},
	{"time", keywordNone, typeWord},
	{"timestamp", keywordNone, typeWord},
	{"treat", keywordNone, typeWord},
	{"trim", keywordNone, typeWord},
	{"values", keywordValues, typeWord | readingWord},
	{"varchar", keywordNone, typeWord},

	{"filter", keywordFilter, infixWord},
	{"ilike", keywordIlike, infixWord},
	{"is", keywordIs, infixWord},
	{"join", keywordJoin, infixWord | tableWord},
	{"like", keywordLike, infixWord},
	{"over", keywordOver, infixWord},
	{"overlaps", keywordNone, infixWord},
	{"similar", keywordSimilar, infixWord},

	{"delete", keywordDelete, writingWord},
	{"insert", keywordInsert, writingWord},
	{"merge", keywordMerge, writingWord},
	{"update", keywordUpdate, writingWord | tableWord},
	{"alter", keywordNone, 0},
	{"call", keywordNone, 0},
	{"drop", keywordNone, 0},
	{"truncate", keywordNone, 0},
	{"by", keywordBy, 0},
	{"explain", keywordExplain, readingWord},
	{"first", keywordFirst, 0},
	{"key", keywordKey, 0},
	{"materialized", keywordMaterialized, 0},
	{"natural", keywordNatural, 0},
	{"next", keywordNext, 0},
	{"no", keywordNo, 0},
	{"operator", keywordOperator, 0},
	{"partition", keywordPartition, 0},
	{"recursive", keywordRecursive, 0},
	{"set", keywordSet, 0},
	{"sets", keywordSets, 0},
	{"share", keywordShare, 0},
	{"show", keywordNone, readingWord},
	{"within", keywordWithin, 0},
}
