package sqltext

// Analyzer analyzes statements. It allocates only when its buffer grows. It may be used by one
// goroutine at a time.
type Analyzer struct {
	// ClassifyEffect enables the classification of effects.
	ClassifyEffect bool
	// ReadOnlyFunctions are read-only functions beside PostgreSQL's own.
	ReadOnlyFunctions Functions

	hasher fingerprintHasher
	buffer []byte // of the normal form

	// These are not part of the pass, which is cleared for each statement. Clearing them would
	// take longer than the analysis of most statements.
	slots  slotBuffer
	lists  listStack
	effect effectClassifier
	result Analysis
}

// NewAnalyzer returns an analyzer with random seeds.
func NewAnalyzer() *Analyzer { return &Analyzer{hasher: newFingerprintHasher()} }

// maxRetainedBuffer is the largest buffer, in bytes, that an analyzer keeps for the next statement.
const maxRetainedBuffer = 64 << 10

// Fingerprint returns the fingerprint of a normal form that is not truncated.
func (a *Analyzer) Fingerprint(normalForm string) [2]uint64 { return a.hasher.ofString(normalForm) }

// Analyze analyzes a statement. The result is valid until the next call.
func (a *Analyzer) Analyze(stmt string) *Analysis {
	if cap(a.buffer) > maxRetainedBuffer {
		a.buffer = nil
	}
	a.buffer = a.buffer[:0]
	a.result = Analysis{}
	a.slots.count = 0
	a.lists.count = 0
	if a.ClassifyEffect {
		a.effect = effectClassifier{readOnly: a.ReadOnlyFunctions}
	}
	pass := analysisPass{
		lexer:  Lexer{Src: stmt},
		result: &a.result,
		hasher: &a.hasher,
		slots:  &a.slots,
		lists:  &a.lists,
		normal: normalForm{text: a.buffer},
	}
	a.run(&pass)
	a.buffer = pass.normal.text
	return &a.result
}

// run passes all tokens of a statement to the pass and, if ClassifyEffect is set, to the classifier.
func (a *Analyzer) run(pass *analysisPass) {
	var statements statementCounter
	for t := pass.lexer.Next(); t.Kind != EndOfText; t = pass.lexer.Next() {
		if a.ClassifyEffect {
			statements.token(&pass.lexer, t)
			if !a.effect.decided() {
				a.effect.token(&pass.lexer, t)
			}
		}
		pass.token(t)
	}
	if a.ClassifyEffect {
		a.result.Effect = a.effect.verdict(&pass.lexer)
		a.result.FirstWord = statements.firstWord
		a.result.MultipleStatements = statements.multiple
	}
	pass.finish()
}
