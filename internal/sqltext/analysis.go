package sqltext

// Role is what a value means for the size of its statement's result.
type Role uint8

// Roles of a value.
const (
	RoleOther      Role = iota
	RoleEqual           // compared for equality
	RoleList            // the alternatives of a list (IN, ANY)
	RoleLowerBound      // lower bound of a range
	RoleUpperBound      // upper bound of a range
	RolePattern         // of LIKE, ILIKE, SIMILAR TO and the operators ~ and ~~
	RoleLimit           // number of rows
	RoleInterval        // a length of time, as in now() - interval '1 year'
)

// Slot is one value of a statement, or one list of values, that the size of the result may depend on.
type Slot struct {
	Role      Role
	NullGuard bool   // the statement tests the value for null, as in $1 IS NULL OR a = $1
	Column    uint32 // hash of the name that the value is compared with; 0: none
	Parameter int32  // number of the parameter from 1; 0: a literal
	From      int32  // start of the literal in the text
	To        int32  // end of the literal
	Count     int32  // number of alternatives in a list of literals
}

// Verb is the command that decides the kind of a statement; 0: none of those below.
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

// Features are the properties of a statement that indicate its cost.
type Features struct {
	Verb       Verb
	Tables     int32 // names after FROM and JOIN
	Joins      int32
	Aggregates int32 // calls of aggregate functions
	Windows    int32 // OVER
	Groups     int32 // GROUP BY
	Sorts      int32 // ORDER BY
	Distincts  int32
	Selects    int32 // SELECT, including those of subqueries and unions
	Rows       int32 // of VALUES
	Values     int32 // literals and parameters
	Where      bool
	Limited    bool
}

// Analysis is the result of analyzing a statement. It belongs to its Analyzer.
type Analysis struct {
	// Fingerprint identifies the normal form by two hashes of 64 bits. Their seeds belong to
	// this process and are secret, so that a client can't write a statement that collides
	// with another one. Other processes have other fingerprints of the same normal form.
	Fingerprint [2]uint64
	// NormalForm is the normal form: the statement without values, comments, case and spacing,
	// and with lists of alternatives and rows of values folded into one. The number in the
	// name of a schema is replaced by #, so that all data sets share their shapes.
	NormalForm []byte
	// Truncated means that the normal form was too long and NormalForm is only its last part. The
	// fingerprint covers all of it.
	Truncated bool
	Classification
	Features   Features
	Slots      []Slot
	Dataset    int64 // the number of the data set, as returned by DatasetOf
	HasDataset bool  // the statement names a data set
	// Restrictions is the number of comparisons between a name and a value, which can narrow
	// the result.
	Restrictions int
	// Unrestricted means that a condition is true for all rows, as in NULL IS NULL OR a = 1.
	Unrestricted bool
}

// Classification is the part of an Analysis that only Analyzer.AnalyzeAndClassify sets. Its zero value
// has the most cautious effect, EffectUnknown.
type Classification struct {
	Verdict            Verdict // as returned by EffectOf
	FirstWord          string  // as returned by the function FirstWord, but in the case of the text
	MultipleStatements bool    // the text contains more than one statement
}
