package sqltext

import "testing"

// Names longer than maxKeywordLength are not looked up, so the longest key word must have that length.
func TestMaxKeywordLength_IsLengthOfLongestKeyword(t *testing.T) {
	longest := 0
	for _, entry := range keywords {
		longest = max(longest, len(entry.text))
	}
	if longest != maxKeywordLength {
		t.Errorf("the longest key word has %d bytes, maxKeywordLength is %d", longest, maxKeywordLength)
	}
}
