package sqltext

import "hash/maphash"

// Analyzer analyzes statements. It allocates only while its buffer grows, and belongs to
// one goroutine.
type Analyzer struct {
	// ClassifyEffect enables the classification of effects.
	ClassifyEffect bool
	// ReadOnlyFunctions are read-only functions beside PostgreSQL's own.
	ReadOnlyFunctions Functions

	seeds        [2]maphash.Seed
	prefixHashes [2]maphash.Hash // of the parts of a long normal form that left the buffer
	buffer       []byte
	slots        [maxSlots]Slot
	lists        [maxNestedLists]foldedList
	// These two are not part of the pass, which is cleared for each statement.
	effect effectClassifier
	result Analysis
}

// NewAnalyzer returns an analyzer with seeds of its own.
func NewAnalyzer() *Analyzer {
	return &Analyzer{seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}}
}

const (
	// maxRetainedBuffer is the largest buffer that an analyzer keeps for the next statement.
	maxRetainedBuffer = 64 << 10
	// maxPendingNormalForm is the length from which on a normal form is hashed in parts.
	maxPendingNormalForm = 16 << 10
)

// Fingerprint returns the fingerprint of a normal form that is not truncated.
func (a *Analyzer) Fingerprint(normalForm string) (fingerprint [2]uint64) {
	for i, seed := range a.seeds {
		fingerprint[i] = maphash.String(seed, normalForm)
	}
	return fingerprint
}

// Analyze analyzes a statement. The result is valid until the next call.
func (a *Analyzer) Analyze(stmt string) *Analysis {
	if cap(a.buffer) > maxRetainedBuffer {
		a.buffer = nil
	}
	a.buffer = a.buffer[:0]
	a.result = Analysis{}
	p := pass{lexer: Lexer{Src: stmt}, analyzer: a, result: &a.result, normalForm: a.buffer}
	if a.ClassifyEffect {
		a.effect = effectClassifier{readOnly: a.ReadOnlyFunctions}
	}
	for t := p.lexer.Next(); t.Kind != EndOfText; t = p.lexer.Next() {
		if a.ClassifyEffect {
			p.trackStatements(t)
			if !a.effect.decided() {
				a.effect.token(&p.lexer, t)
			}
		}
		p.token(t)
	}
	if a.ClassifyEffect {
		a.result.Effect = a.effect.verdict(&p.lexer)
	}
	p.endLists(-1)
	p.trimSpace()
	p.hashNormalForm()
	a.buffer = p.normalForm
	a.result.NormalForm = p.normalForm
	a.result.Slots = a.slots[:p.slotCount]
	a.result.Dataset, a.result.HasDataset = p.dataset.dataset, p.dataset.found
	return &a.result
}

// hashPrefix hashes the buffered part of a long normal form and empties the buffer.
func (p *pass) hashPrefix() {
	a := p.analyzer
	for i := range a.prefixHashes {
		if !p.result.Truncated {
			a.prefixHashes[i].SetSeed(a.seeds[i])
		}
		_, _ = a.prefixHashes[i].Write(p.normalForm) // it never fails
	}
	p.normalForm, p.result.Truncated = p.normalForm[:0], true
}

// hashNormalForm sets the fingerprint.
func (p *pass) hashNormalForm() {
	a := p.analyzer
	for i, seed := range a.seeds {
		if p.result.Truncated {
			_, _ = a.prefixHashes[i].Write(p.normalForm) // it never fails
			p.result.Fingerprint[i] = a.prefixHashes[i].Sum64()
		} else {
			p.result.Fingerprint[i] = maphash.Bytes(seed, p.normalForm)
		}
	}
}
