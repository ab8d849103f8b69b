package sqltext

// Kind is the kind of a token.
type Kind uint8

// Kinds of token.
const (
	EndOfText        Kind = iota // the end of the text
	Identifier                   // a key word or an unquoted name
	QuotedIdentifier             // a name in double quotes
	String                       // '..', E'..', U&'..', N'..', including its continuations
	BitString                    // B'..', X'..'
	DollarString                 // $tag$..$tag$
	Number                       // 1, 1_000, 0x1F, 1.5e-3
	Parameter                    // $1
	Operator                     // a run of operator characters
	Dot                          // .
	Comma                        // ,
	LeftParen                    // (
	RightParen                   // )
	LeftBracket                  // [
	RightBracket                 // ]
	Cast                         // ::
	Colon                        // : alone, or :=
	Semicolon                    // ;
	Invalid                      // a character that no rule accepts, or a lone $
)

// Token is a token with its position as byte offsets. The compiler keeps a struct of up to four fields in
// registers. With more fields, copying tokens took half of the time of an analysis.
type Token struct {
	Start, End int
	Kind       Kind
	info       identifierInfo
}

// identifierInfo packs the properties of an Identifier: its case-insensitive hash (bits 0 to 31), its
// class and its number as a key word (bits 32 to 47 and 48 to 55), and whether it contains upper-case
// letters (bit 56).
type identifierInfo uint64

const (
	infoClassShift   = 32
	infoKeywordShift = 48
	infoUpperShift   = 56
)

func (t Token) hash() uint32        { return uint32(t.info) }
func (t Token) class() keywordClass { return keywordClass(t.info >> infoClassShift) }
func (t Token) keyword() keyword    { return keyword(t.info >> infoKeywordShift) }
func (t Token) hasUpper() bool      { return t.info.hasUpper() }

func (i identifierInfo) hasUpper() bool { return i>>infoUpperShift != 0 }

// Flaw is a set of properties that make the analysis of a text unreliable.
type Flaw uint8

// Flaws, as bits.
const (
	// Unterminated means that a string, a quoted name or a comment is not closed before the end of the text.
	Unterminated Flaw = 1 << iota
	// BackslashQuote means that a backslash precedes a quote in an ordinary string. If
	// standard_conforming_strings is off, the string does not end at that quote.
	BackslashQuote
	// UnicodeEscape means that a name or string has the prefix U&, so that escapes may hide its
	// characters.
	UnicodeEscape
	// InvalidCharacter means that the text contains a character that no lexical rule accepts, such as NUL.
	InvalidCharacter
	// NonASCII means that the text contains bytes above 0x7f outside comments. The positions of tokens are
	// unreliable only if the text is also not valid UTF-8.
	NonASCII
)
