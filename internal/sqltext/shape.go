package sqltext

import "hash/maphash"

// Role is what a value of a statement does there.
type Role uint8

// Roles of a value.
const (
	RoleOther    Role = iota
	RoleEqual         // it is compared for equality
	RoleList          // one of its alternatives is (IN, ANY)
	RoleLowerBound           // lower end of a range
	RoleUpperBound          // upper end of a range
	RolePattern       // of LIKE, ILIKE, SIMILAR TO and the operators ~ and ~~
	RoleLimit         // of rows
	RoleInterval      // a span of time by itself, as in now() - interval '1 year'
)

// Slot is one value of a statement that its size may depend on.
type Slot struct {
	Role   Role
	NullGuard  bool   // the statement asks whether it is null, as in $1 IS NULL OR a = $1
	Column uint32 // hash of the name that it is compared with; 0: none
	Parameter  int32  // its number from 1; 0: a literal, which stands at From
	From   int32
	To     int32
	Count  int32 // of alternatives in a list that is written out
}

// MostSlots bounds the values of one statement that are looked at; of the others only
// the number counts.
const maxSlots = 24

// Features are what the words of a statement tell of its work.
type Features struct {
	Verb       byte  // s: it selects; i, u, d, m: it writes so; e: EXPLAIN; 0: something else
	Tables     int32 // names behind FROM and JOIN
	Joins      int32
	Aggregates int32 // calls of aggregate functions
	Windows    int32
	Groups     int32 // GROUP BY
	Sorts      int32 // ORDER BY
	Distincts  int32
	Selects    int32 // SELECT, those of subqueries and unions among them
	Rows       int32 // of VALUES
	Values     int32 // literals and parameters
	Where      bool
	Limited    bool
}

// Reading is what one pass over a statement tells. It belongs to its Reader.
type Analysis struct {
	// Print is the fingerprint: two hashes of the normal form with seeds of this process
	// that nobody outside knows, 128 bits together, so that nobody can write a statement
	// which shares the place of another. It means nothing to another process.
	Fingerprint [2]uint64
	// Norm is the statement with its values, comments, case and spacing taken out,
	// and with lists of alternatives and rows of values as one. The number in the
	// name of a schema is # there: shapes of all groups are one. Of a long one only the
	// last part is here, and Cut is set; the fingerprint is of all of it.
	Norm     []byte
	Truncated      bool
	Features Features
	Slots    []Slot
	Group    int64
	Grouped  bool
	Flaws    Flaw
	// Effect is what EffectOf says, First and Several what FirstWord does, read on the way
	// where the Reader judges. Else Effect is Untold, the most cautious.
	Effect  Verdict
	FirstWord   string // as it stands in the text; "(" for what is no word
	MultipleStatements bool
	// Restrictions counts the comparisons of a name with a value, which can narrow what
	// is read. Open: one is written so that it holds for all rows (NULL IS NULL OR).
	Restrictions int
	Unrestricted         bool
}

// Reader reads statements. It allocates while its buffer grows and not after; it is
// for one goroutine.
type Analyzer struct {
	// Judge has the effect read too. Functions are known to read only, beside
	// PostgreSQL's own.
	Judge     bool
	Functions Functions

	seeds [2]maphash.Seed
	prefixHashes  [2]maphash.Hash // of what was cut off
	buffer  []byte
	slots [maxSlots]Slot
	lists [maxNestedLists]foldedList
	// Apart from the pass, which is cleared for each statement.
	effect effectClassifier
	result    Analysis
}

// NewReader returns a reader whose fingerprints are its own.
func NewReader() *Analyzer {
	return &Analyzer{seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}}
}

// keepNorm is how large a buffer stays with its Reader, and cutNorm how long a normal
// form may become before it is hashed piece by piece.
const (
	maxRetainedBuffer = 64 << 10
	maxPendingNormalForm  = 16 << 10
)

// cut hashes what stands in the buffer and goes on with an empty one.
func (p *pass) hashPrefix() {
	for i := range p.analyzer.prefixHashes {
		if !p.result.Truncated {
			p.analyzer.prefixHashes[i].SetSeed(p.analyzer.seeds[i])
		}
		_, _ = p.analyzer.prefixHashes[i].Write(p.normalForm) // it never fails
	}
	p.normalForm, p.result.Truncated = p.normalForm[:0], true
}

// Print is the fingerprint of a normal form that is not cut.
func (r *Analyzer) Fingerprint(norm string) (print [2]uint64) {
	for i, seed := range r.seeds {
		print[i] = maphash.String(seed, norm)
	}
	return print
}

// listContext is a list whose alternatives are folded into one.
type foldedList struct {
	depth int  // of its commas
	isRows  bool // rows of VALUES
	start int  // of its first element in the buffer
	firstLength int  // length of that; -1: not over yet
	elementStart  int  // start of the element being read
	count int
	slot  int // that counts its alternatives; -1: none
	plainRowLength int // values of the first row, where it holds nothing else; 0: it does
}

// mostLists is how deep lists are folded within each other.
const maxNestedLists = 8

// Read reads a statement. What it returns holds until the next call.
func (r *Analyzer) Read(stmt string) *Analysis {
	if cap(r.buffer) > maxRetainedBuffer {
		r.buffer = nil
	}
	r.buffer = r.buffer[:0]
	r.result = Analysis{}
	p := pass{lexer: Lexer{Src: stmt}, analyzer: r, result: &r.result, normalForm: r.buffer}
	if r.Judge {
		r.effect = effectClassifier{readOnly: r.Functions}
	}
	for t := p.lexer.Next(); t.Kind != End; t = p.lexer.Next() {
		if r.Judge {
			p.trackStatements(t)
			if !r.effect.decided() {
				r.effect.token(&p.lexer, t)
			}
		}
		p.token(t)
	}
	if r.Judge {
		r.result.Effect = r.effect.verdict(&p.lexer)
	}
	p.endLists(-1)
	p.trimSpace()
	for i, seed := range r.seeds {
		if r.result.Truncated {
			_, _ = r.prefixHashes[i].Write(p.normalForm)
			r.result.Fingerprint[i] = r.prefixHashes[i].Sum64()
		} else {
			r.result.Fingerprint[i] = maphash.Bytes(seed, p.normalForm)
		}
	}
	r.buffer = p.normalForm
	r.result.Norm = p.normalForm
	r.result.Slots = r.slots[:p.slotCount]
	r.result.Group, r.result.Grouped = p.dataset.dataset, p.dataset.found
	r.result.Flaws = p.lexer.Flaws
	return &r.result
}

// pass is the state of one reading.
type pass struct {
	lexer     Lexer
	analyzer     *Analyzer
	result   *Analysis
	normalForm  []byte
	slotCount int
	dataset datasetFinder

	depth    int
	previousKind     Kind // of the last token
	previousKeyword     keyword // of the last token
	keywordBefore   keyword
	nameStart     int    // where the last name starts in the buffer
	column   uint32 // of the last name
	pendingRole  Role   // of a value that comes now
	comparedColumn uint32 // the column that it is compared with
	inBetween  bool   // AND leads to the upper end
	signStart     int    // a sign stands in the buffer from here on; 0: none
	signOffset   int    // and in the text here
	parameter    int    // the last parameter's number, while nothing but a cast is behind it
	afterInterval bool   // the last token is the word interval

	openLists int // lists that are open, of the Reader's

	afterSemicolon bool // a statement was ended by a semicolon
}

// first finds the first word, and whether a second statement follows.
func (p *pass) trackStatements(t Token) {
	switch {
	case t.Kind == Semicolon:
		p.afterSemicolon = p.result.FirstWord != ""
	case p.afterSemicolon:
		p.result.MultipleStatements = true
	case p.result.FirstWord != "":
	case t.Kind == Identifier:
		p.result.FirstWord = p.lexer.Text(t)
	default:
		p.result.FirstWord = "("
	}
}

// token takes one token into the normal form, the slots and the features.
func (p *pass) token(t Token) {
	w, use := t.keyword(), t.class()
	if p.previousKind == Dot {
		w, use = keywordNone, 0
	}
	if g := &p.dataset; !g.certain { // most of groupReader.token, without the call
		switch {
		case t.Kind == Dot || t.class()&tableWord != 0:
			g.token(&p.lexer, t)
		case t.Kind <= QuotedIdentifier:
			g.previousName, g.previousKind = t, t.Kind
		case t.Kind == LeftParen:
			g.previousKind = LeftParen
		default:
			g.afterTableWord, g.previousKind = false, t.Kind
		}
	}
	if p.openLists > 0 {
		p.trackElement(t, use)
	}
	switch t.Kind {
	case Identifier, QuotedIdentifier:
		p.identifier(t, w, use)
	case String, BitString, DollarString, Number, Parameter:
		p.value(t)
	default:
		p.punctuation(t)
	}
	if t.Kind != Operator {
		p.signStart = 0
	}
	p.keywordBefore, p.previousKeyword = p.previousKeyword, w
	p.previousKind = t.Kind
}

// joins are the kinds of token that no space follows in the normal form.
var joinsNext = [Invalid + 1]bool{End: true, Dot: true, LeftParen: true, LeftBracket: true, Cast: true}

// space parts two words.
func (p *pass) space() {
	if !joinsNext[p.previousKind] {
		p.normalForm = append(p.normalForm, ' ')
	}
}

func (p *pass) identifier(t Token, w keyword, use keywordClass) {
	f := &p.result.Features
	p.space()
	p.nameStart = len(p.normalForm)
	text := p.lexer.Src[t.Start:t.End]
	switch {
	case t.Kind == QuotedIdentifier:
		p.normalForm = appendQuoted(p.normalForm, text)
	case t.hasUpper():
		p.normalForm = appendLower(p.normalForm, text)
	default:
		p.normalForm = append(p.normalForm, text...)
	}
	p.afterInterval = w == keywordInterval
	if p.previousKind != Cast && w != keywordIs {
		p.parameter = 0
	}
	if w == keywordNone && use == 0 {
		p.name(t, text)
		return
	}
	switch w {
	case keywordSelect:
		f.Selects++
		p.setVerb('s')
	case keywordInsert:
		p.setVerb('i')
	case keywordUpdate:
		if p.previousKeyword != keywordFor {
			p.setVerb('u')
		}
	case keywordDelete:
		p.setVerb('d')
	case keywordMerge:
		p.setVerb('m')
	case keywordExplain:
		p.setVerb('e')
	case keywordFrom:
		f.Tables++
	case keywordJoin:
		f.Tables++
		f.Joins++
	case keywordGroup:
		if p.previousKeyword != keywordWithin {
			f.Groups++
		}
	case keywordOrder:
		f.Sorts++
	case keywordDistinct:
		if p.previousKeyword != keywordIs && p.previousKeyword != keywordNot {
			f.Distincts++
		}
	case keywordOver:
		f.Windows++
	case keywordWhere, keywordOn:
		f.Where = f.Where || w == keywordWhere
	case keywordValues:
		if p.openLists < maxNestedLists {
			p.pushList(foldedList{depth: p.depth, isRows: true, start: len(p.normalForm), elementStart: len(p.normalForm), firstLength: -1, slot: -1})
		}
	}
	p.expectValue(w, use)
}

func (p *pass) setVerb(v byte) {
	f := &p.result.Features
	if f.Verb == 0 || f.Verb == 's' && v != 's' {
		f.Verb = v
	}
}

// operand takes a name that is no key word.
func (p *pass) name(t Token, text string) {
	f := &p.result.Features
	p.column = t.hash()
	if t.Kind == QuotedIdentifier {
		p.column = hashName(text)
	}
	if at := p.lexer.Pos; at < len(p.lexer.Src) && len(text) <= 12 { // what follows at once tells most names apart
		switch p.lexer.Src[at] {
		case '(', ' ', '/', '\n', '\t', '\r':
			if t.Kind == Identifier && isAggregate(text) {
				next := p.lexer
				if next.Next().Kind == LeftParen {
					f.Aggregates++
				}
			}
		}
	}
	if p.pendingRole != RoleOther && (equalFold(text, "date") || equalFold(text, "timestamptz")) {
		return // the type of a literal to come
	}
	p.pendingRole = RoleOther
}

// expect sets what a value behind a key word is.
func (p *pass) expectValue(w keyword, use keywordClass) {
	switch w {
	case keywordBetween:
		p.pendingRole, p.comparedColumn, p.inBetween = RoleLowerBound, p.column, true
	case keywordSymmetric, keywordNot, keywordSimilar, keywordInterval:
	case keywordAnd:
		if p.inBetween {
			p.pendingRole, p.inBetween = RoleUpperBound, false
		} else {
			p.pendingRole, p.column = RoleOther, 0
		}
	case keywordWhere, keywordOr, keywordOn, keywordHaving:
		p.pendingRole, p.column = RoleOther, 0
	case keywordLike, keywordIlike:
		p.pendingRole, p.comparedColumn = RolePattern, p.column
	case keywordLimit:
		p.pendingRole = RoleLimit
		p.result.Features.Limited = true
	case keywordFirst, keywordNext:
		if p.keywordBefore == keywordFetch || p.previousKeyword == keywordFetch {
			p.pendingRole = RoleLimit
			p.result.Features.Limited = true
		}
	case keywordIn, keywordAny, keywordSome:
		p.pendingRole, p.comparedColumn = RoleList, p.column
	case keywordArray:
	case keywordIs:
		for i := range p.slotCount {
			if s := &p.analyzer.slots[i]; p.parameter > 0 && s.Parameter == int32(p.parameter) {
				s.NullGuard = true
			}
		}
		if p.previousKeyword == keywordNull {
			p.result.Unrestricted = true
		}
		p.parameter, p.pendingRole = 0, RoleOther
	default:
		if use&typeWord == 0 { // timestamp and the like keep what is compared
			p.pendingRole = RoleOther
		}
	}
}

func (p *pass) value(t Token) {
	f := &p.result.Features
	f.Values++
	at := p.signStart
	if at > 0 {
		p.normalForm = p.normalForm[:at]
	} else {
		p.space()
	}
	p.normalForm = append(p.normalForm, '?')
	role := p.pendingRole
	if p.afterInterval && t.Kind == String {
		role = RoleInterval
	}
	p.afterInterval = false
	if p.openLists > 0 && role == RoleList {
		if c := &p.analyzer.lists[p.openLists-1]; !c.isRows && c.depth == p.depth {
			return // one of a list, whose slot counts it
		}
	}
	guard := p.keywordBefore == keywordCoalesce && p.previousKind == LeftParen
	if t.Kind == Parameter {
		p.parameter = parameterNumber(p.lexer.Src[t.Start+1 : t.End])
	} else {
		p.parameter = 0
	}
	switch role {
	case RoleInterval:
		p.result.Restrictions++
	case RoleEqual, RoleList, RoleLowerBound, RoleUpperBound, RolePattern:
		if p.comparedColumn == 0 { // 1 = 1
			role = RoleOther
			break
		}
		p.result.Restrictions++
	}
	// Of values that have no part in it only parameters can turn out to be guards.
	if role == RoleOther && (t.Kind != Parameter || f.Verb == 'i') || p.slotCount == maxSlots {
		return
	}
	s := Slot{Role: role, NullGuard: guard, Column: p.comparedColumn, Count: 1}
	if t.Kind == Parameter {
		s.Parameter = int32(p.parameter)
	} else if s.From, s.To = int32(t.Start), int32(t.End); at > 0 {
		s.From = int32(p.signOffset)
	}
	p.analyzer.slots[p.slotCount] = s
	p.slotCount++
	p.pendingRole = RoleOther
}

// number reads a parameter's number; those past what a message can hold are one.
func parameterNumber(digits string) (n int) {
	for i := range len(digits) {
		if n = n*10 + int(digits[i]-'0'); n > 1<<16 {
			return 1 << 16
		}
	}
	return n
}

// mark takes punctuation and operators.
func (p *pass) punctuation(t Token) {
	text := p.lexer.Src[t.Start:t.End]
	p.afterInterval = false
	if t.Kind != Cast {
		p.parameter = 0
	}
	switch t.Kind {
	case LeftParen:
		if p.previousKind == Operator || p.previousKind == Comma || p.previousKeyword != keywordNone {
			p.space()
		}
		p.normalForm = append(p.normalForm, '(')
		p.depth++
		if p.pendingRole == RoleList && (p.previousKeyword == keywordIn || p.previousKeyword == keywordAny || p.previousKeyword == keywordSome) {
			next := p.lexer
			use := next.Next().class()
			if p.previousKeyword == keywordIn && use&readingWord == 0 && p.openLists < maxNestedLists {
				p.beginList()
			}
			if use&readingWord != 0 {
				p.pendingRole = RoleOther
			}
		}
	case LeftBracket:
		p.normalForm = append(p.normalForm, '[')
		p.depth++
		if p.previousKeyword == keywordArray && p.openLists < maxNestedLists {
			p.beginList()
		}
	case RightParen, RightBracket:
		p.normalForm = append(p.normalForm, text...)
		p.depth--
	case Comma:
		if p.openLists == 0 && len(p.normalForm) > maxPendingNormalForm {
			p.hashPrefix()
		}
		p.normalForm = append(p.normalForm, ',')
		if p.pendingRole != RoleList {
			p.pendingRole, p.column = RoleOther, 0
		}
	case Dot:
		p.maskDataset()
		p.normalForm = append(p.normalForm, '.')
	case Semicolon:
	case Operator:
		p.operator(text)
		return
	default:
		p.normalForm = append(p.normalForm, text...)
	}
}

func (p *pass) operator(text string) {
	p.signStart = 0
	signed := p.previousKind == Operator || p.previousKind == LeftParen || p.previousKind == Comma || p.previousKind == LeftBracket || p.previousKeyword != keywordNone
	p.space()
	at := len(p.normalForm)
	p.normalForm = append(p.normalForm, text...)
	if text == "-" && signed {
		p.signStart, p.signOffset = at, p.lexer.Pos-1
		if at > 0 && p.normalForm[at-1] != ' ' && p.normalForm[at-1] != '(' && p.normalForm[at-1] != '[' {
			p.signStart = 0
		}
		if p.signStart > 0 {
			return // of the value to come
		}
	}
	switch text {
	case "=":
		p.pendingRole, p.comparedColumn = RoleEqual, p.column
	case "<", "<=":
		p.pendingRole, p.comparedColumn = RoleUpperBound, p.column
	case ">", ">=":
		p.pendingRole, p.comparedColumn = RoleLowerBound, p.column
	case "~", "~~", "~*", "~~*":
		p.pendingRole, p.comparedColumn = RolePattern, p.column
	default:
		p.pendingRole = RoleOther
	}
}

// schema puts # in place of the number of a schema's name, once the dot behind it
// shows that it is one.
func (p *pass) maskDataset() {
	if p.previousKind != Identifier && p.previousKind != QuotedIdentifier || p.nameStart >= len(p.normalForm) {
		return
	}
	n := len(p.normalForm)
	for n > p.nameStart && isDigit(p.normalForm[n-1]) {
		n--
	}
	if n < len(p.normalForm) && n > p.nameStart+1 && p.normalForm[n-1] == '_' {
		p.normalForm = append(p.normalForm[:n], '#')
	}
}

// list begins a list of alternatives behind the parenthesis or bracket just read.
func (p *pass) beginList() {
	c := foldedList{depth: p.depth, start: len(p.normalForm), elementStart: len(p.normalForm), firstLength: -1, slot: -1}
	if p.slotCount < maxSlots {
		p.analyzer.slots[p.slotCount] = Slot{Role: RoleList, Column: p.comparedColumn}
		c.slot = p.slotCount
		p.slotCount++
	}
	p.result.Restrictions++
	p.pendingRole = RoleList
	p.pushList(c)
}

func (p *pass) pushList(c foldedList) {
	p.analyzer.lists[p.openLists] = c
	p.openLists++
}

// elements ends an element, or the list, where this token does.
func (p *pass) trackElement(t Token, use keywordClass) {
	c := &p.analyzer.lists[p.openLists-1]
	switch {
	case p.depth < c.depth:
		p.endLists(p.depth)
	case p.depth > c.depth:
	case t.Kind == Comma:
		p.endElement(c)
		switch {
		case c.isRows && c.plainRowLength > 0:
			p.skipRows(c)
		case !c.isRows && c.firstLength == 1 && p.normalForm[c.start] == '?':
			p.skipElements(c)
		}
		c.elementStart = len(p.normalForm)
	case t.Kind == RightParen || t.Kind == RightBracket:
		p.endLists(p.depth - 1)
	case c.isRows && t.Kind != LeftParen:
		p.endLists(p.depth - 1)
	}
}

// skipElements passes the elements of a list that are plain values, as its first one is,
// but for the last: lists of thousands are the longest statements that there are.
func (p *pass) skipElements(c *foldedList) {
	for {
		next := p.lexer
		if k := next.Next().Kind; k != String && k != Number {
			return
		}
		if next.Next().Kind != Comma {
			return
		}
		p.result.Features.Values++
		c.count++
		p.lexer = next
	}
}

// plainRow is the number of values of a row that is nothing but values: (?, ?, ?).
func plainRow(b []byte) int {
	const one = "(?, ?, "
	if len(b) < 3 || len(b)%3 != 0 || b[0] != '(' || b[len(b)-1] != ')' {
		return 0
	}
	for i := 1; i < len(b)-1; i++ {
		if b[i] != one[1+(i-1)%3] {
			return 0
		}
	}
	return len(b) / 3
}

// skipRows passes rows of plain values, as the first one is, but for the last.
func (p *pass) skipRows(c *foldedList) {
	for {
		next := p.lexer
		if next.Next().Kind != LeftParen {
			return
		}
		for n := 1; ; n++ {
			if k := next.Next().Kind; k != String && k != Number {
				return
			}
			k := next.Next().Kind
			if k == RightParen && n == c.plainRowLength {
				break
			}
			if k != Comma || n >= c.plainRowLength {
				return
			}
		}
		if next.Next().Kind != Comma {
			return
		}
		p.result.Features.Values += int32(c.plainRowLength)
		c.count++
		p.lexer = next
	}
}

// element ends an element: one that repeats the first is left out.
func (p *pass) endElement(c *foldedList) {
	c.count++
	switch {
	case c.firstLength < 0:
		c.firstLength = len(p.normalForm) - c.start
		if c.isRows {
			c.plainRowLength = plainRow(trimElement(p.normalForm[c.start:]))
		}
	case sameElement(p.normalForm[c.elementStart:], p.normalForm[c.start:c.start+c.firstLength]):
		p.normalForm = p.normalForm[:c.elementStart]
	}
}

// sameElement compares an element, which has the comma before it, with the first.
func sameElement(b, first []byte) bool {
	b = trimElement(b)
	first = trimElement(first)
	if len(b) != len(first) {
		return false
	}
	for i := range b {
		if b[i] != first[i] {
			return false
		}
	}
	return true
}

func trimElement(b []byte) []byte {
	for len(b) > 0 && (b[0] == ',' || b[0] == ' ') {
		b = b[1:]
	}
	return b
}

// endLists ends the lists deeper than a depth.
func (p *pass) endLists(depth int) {
	for p.openLists > 0 && p.analyzer.lists[p.openLists-1].depth > depth {
		c := &p.analyzer.lists[p.openLists-1]
		p.endElement(c)
		if c.isRows {
			p.result.Features.Rows += int32(c.count)
		} else if c.slot >= 0 {
			p.analyzer.slots[c.slot].Count = int32(c.count)
		}
		p.openLists--
		p.pendingRole = RoleOther
	}
}

// finish drops what ends the text and says nothing.
func (p *pass) trimSpace() {
	for n := len(p.normalForm); n > 0 && p.normalForm[n-1] == ' '; n-- {
		p.normalForm = p.normalForm[:n-1]
	}
}

func appendLower(b []byte, s string) []byte {
	at := len(b)
	b = append(b, s...)
	for i, c := range b[at:] {
		b[at+i] = foldedChars[c]
	}
	return b
}

// appendQuoted takes the quotes off a name that means the same without them.
func appendQuoted(b []byte, s string) []byte {
	if len(s) < 3 || s[0] != '"' || charClasses[s[1]]&charNameStart == 0 {
		return append(b, s...)
	}
	inner := s[1 : len(s)-1]
	l := Lexer{Src: inner}
	if t := l.scanIdentifier(); t.End < len(inner) || t.hasUpper() || t.keyword() != keywordNone || t.class() != 0 {
		return append(b, s...)
	}
	return append(b, inner...)
}

func hashName(s string) uint32 {
	s = unquoteIdentifier(s)
	return nameHash(s, 0, len(s))
}

// aggregate tells whether a function of this name reads many rows into one.
func isAggregate(s string) bool {
	switch s[0] | 0x20 {
	case 'c':
		return equalFold(s, "count")
	case 's':
		return equalFold(s, "sum") || equalFold(s, "string_agg") || equalFold(s, "stddev")
	case 'm':
		return equalFold(s, "max") || equalFold(s, "min")
	case 'a':
		return equalFold(s, "avg") || equalFold(s, "array_agg")
	case 'j':
		return equalFold(s, "json_agg") || equalFold(s, "jsonb_agg")
	case 'v':
		return equalFold(s, "variance")
	}
	return false
}
