package sqltext

// Analyzer analyzes statements. It allocates only when its buffer grows, and for the classification of some names
// that are not in lower case. It is not safe for concurrent use.
type Analyzer struct {
	hasher fingerprintHasher
	buffer []byte // holds the normal form

	// These fields are not part of analysisPass, which is cleared for each statement. Clearing slots and lists
	// would take longer than the analysis of most statements.
	slots      slotBuffer
	lists      listStack
	classifier classifier
	result     Analysis
}

// classifier determines the Classification of a statement.
type classifier struct {
	effect     effectClassifier
	statements statementTracker
}

// NewAnalyzer returns an analyzer with random seeds.
func NewAnalyzer() *Analyzer { return &Analyzer{hasher: newFingerprintHasher()} }

// Fingerprint returns the fingerprint of a normal form that is not truncated.
func (a *Analyzer) Fingerprint(normalForm string) [2]uint64 { return a.hasher.ofString(normalForm) }

// Analyze analyzes a statement and leaves the Classification of the result empty. The result is valid
// until the next analysis.
func (a *Analyzer) Analyze(stmt string) *Analysis { return a.analyze(stmt, nil) }

// AnalyzeAndClassify analyzes a statement like Analyze and also sets the Classification of the result.
// readOnly lists read-only functions in addition to those of PostgreSQL.
func (a *Analyzer) AnalyzeAndClassify(stmt string, readOnly Functions) *Analysis {
	a.classifier = classifier{effect: effectClassifier{readOnly: readOnly}}
	return a.analyze(stmt, &a.classifier)
}

// maxRetainedBytes is the size of the largest buffer that an analyzer reuses for the next statement.
const maxRetainedBytes = 64 << 10

// analyze analyzes a statement, and classifies it if classifier is not nil.
func (a *Analyzer) analyze(stmt string, classifier *classifier) *Analysis {
	if cap(a.buffer) > maxRetainedBytes {
		a.buffer = nil
	}
	a.buffer = a.buffer[:0]
	a.result = Analysis{}
	a.slots.count = 0
	a.lists.count = 0
	pass := analysisPass{
		lexer:  Lexer{Src: stmt},
		result: &a.result,
		hasher: &a.hasher,
		slots:  &a.slots,
		lists:  &a.lists,
		normal: normalForm{text: a.buffer},
	}
	for t := pass.lexer.Next(); t.Kind != EndOfText; t = pass.lexer.Next() {
		if classifier != nil {
			classifier.addToken(&pass.lexer, t)
		}
		pass.addToken(t)
	}
	pass.finish()
	if classifier != nil {
		a.result.Classification = classifier.finish(&pass.lexer)
	}
	a.buffer = pass.normal.text
	return &a.result
}

// addToken passes the next token to the classifier's two parts.
func (c *classifier) addToken(lexer *Lexer, t Token) {
	c.statements.addToken(lexer, t)
	if !c.effect.decided() {
		c.effect.addToken(lexer, t)
	}
}

// finish returns the result at the end of the text.
func (c *classifier) finish(lexer *Lexer) Classification {
	return Classification{
		Verdict:            c.effect.verdict(lexer),
		FirstWord:          c.statements.firstWord,
		MultipleStatements: c.statements.multiple,
	}
}
