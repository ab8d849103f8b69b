package sqltext

// Role describes how a value affects the size of the result of its statement.
type Role uint8

// Roles of a value.
const (
	RoleOther      Role = iota
	RoleEqual           // compared for equality
	RoleList            // the alternatives of a list (IN, ANY)
	RoleLowerBound      // lower bound of a range
	RoleUpperBound      // upper bound of a range
	RolePattern         // pattern of LIKE, ILIKE and the operators ~, ~*, ~~ and ~~*; not of SIMILAR TO
	RoleLimit           // number of rows in LIMIT or FETCH
	RoleInterval        // a duration, as in now() - interval '1 year'
)

// Slot is a value of a statement, or a list of values, that may affect the size of the result.
type Slot struct {
	Role      Role
	NullGuard bool   // the statement tests the value for null, as in $1 IS NULL OR a = $1
	Column    uint32 // hash of the name that the value is compared with; 0: none
	Parameter int32  // number of the parameter, counted from 1; 0: a literal
	From      int32  // byte offset of the start of the literal in the text
	To        int32  // byte offset of the end of the literal
	Count     int32  // number of alternatives in a list of literals
}

// Verb is the main command of a statement, or 0 if the statement has none of the verbs below.
type Verb byte

// The verbs.
const (
	VerbSelect  Verb = 's'
	VerbInsert  Verb = 'i'
	VerbUpdate  Verb = 'u'
	VerbDelete  Verb = 'd'
	VerbMerge   Verb = 'm'
	VerbExplain Verb = 'e'
)

// Features are the properties of a statement that indicate its cost. The integers are counts.
type Features struct {
	Verb       Verb
	Tables     int32 // words FROM and JOIN
	Joins      int32
	Aggregates int32 // calls of aggregate functions
	Windows    int32 // window functions: words OVER
	Groups     int32 // GROUP BY
	Sorts      int32 // ORDER BY
	Distincts  int32
	Selects    int32 // SELECT, including those of subqueries and unions
	Rows       int32 // rows of VALUES
	Values     int32 // literals and parameters
	Where      bool
	Limited    bool
}

// Analysis is the result of analyzing a statement. It is valid until the next analysis by the same Analyzer.
type Analysis struct {
	// Fingerprint identifies the normal form by two 64-bit hashes. Their seeds are specific to the Analyzer and
	// secret, so that a client can't construct a statement whose fingerprint collides with that of another
	// statement. Two Analyzers compute different fingerprints for the same normal form.
	Fingerprint [2]uint64
	// NormalForm is the text of the statement without values, comments, and differences of case and spacing.
	// Lists of alternatives and rows of VALUES are folded: elements and rows whose normal form equals that of the first
	// one are omitted. The number in the name of a schema is replaced by #, so that statements on different data sets
	// have the same shape.
	NormalForm []byte
	// Truncated means that the normal form was too long and NormalForm holds only its last part. The
	// fingerprint covers the complete normal form.
	Truncated bool
	Classification
	Features   Features
	Slots      []Slot
	Dataset    int64 // the number of the data set, as returned by DatasetOf
	HasDataset bool  // the statement names a data set
	// Restrictions is the number of values and lists that can narrow the result: values that are compared with a
	// name, lists of alternatives and intervals.
	Restrictions int
	// Unrestricted means that a condition is true for all rows, as in NULL IS NULL OR a = 1.
	Unrestricted bool
}

// Classification is the part of an Analysis that only Analyzer.AnalyzeAndClassify sets. Its zero value
// has the most cautious effect, EffectUnknown.
type Classification struct {
	Verdict            Verdict // as returned by EffectOf
	FirstWord          string  // like the result of the function FirstWord, but as written in the text
	MultipleStatements bool    // the text contains more than one statement
}
