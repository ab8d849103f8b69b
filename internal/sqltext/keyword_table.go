package sqltext

// keywordEntry is a key word with its number and its class.
type keywordEntry struct {
	text    string
	keyword keyword
	class   keywordClass
}

// keywordTableSize is a power of two well above the number of key words.
const keywordTableSize = 1024

// keywordsByHash is a hash table with linear probing. Its hash function is hashName, which the lexer computes for
// each name anyway.
var keywordsByHash = func() (table [keywordTableSize]keywordEntry) {
	for _, entry := range keywords {
		for i := hashName(entry.text, 0, len(entry.text)); ; i++ {
			if slot := &table[i%keywordTableSize]; slot.text == "" {
				*slot = entry
				break
			}
		}
	}
	return table
}()

// maxKeywordLength is the length of the longest key word in bytes. Longer names are not looked up.
const maxKeywordLength = 17

// lookupKeyword returns the class and the number of a name as the bits of an identifierInfo; they are 0 if the name
// is not a key word. The low bits of info are the hash of the name.
func lookupKeyword(name string, info identifierInfo) identifierInfo {
	for i := uint32(info); ; i++ {
		entry := &keywordsByHash[i%keywordTableSize]
		if len(entry.text) == 0 {
			return 0
		}
		if len(entry.text) == len(name) && (name == entry.text || info.hasUpper() && matchesFolded(name, entry.text)) {
			return identifierInfo(entry.class)<<infoClassShift | identifierInfo(entry.keyword)<<infoKeywordShift
		}
	}
}
