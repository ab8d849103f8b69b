package sqltext

import "hash/maphash"

// fingerprintHasher computes the fingerprints of normal forms by two hashes with different seeds. It is not
// safe for concurrent use.
type fingerprintHasher struct {
	seeds        [2]maphash.Seed
	prefixHashes [2]maphash.Hash // hashes of the parts of a long normal form that were added so far
}

func newFingerprintHasher() fingerprintHasher {
	return fingerprintHasher{seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}}
}

// ofString returns the fingerprint of a normal form.
func (h *fingerprintHasher) ofString(normalForm string) (fingerprint [2]uint64) {
	for i, seed := range h.seeds {
		fingerprint[i] = maphash.String(seed, normalForm)
	}
	return fingerprint
}

// ofBytes is like ofString for a normal form in a byte slice.
func (h *fingerprintHasher) ofBytes(normalForm []byte) (fingerprint [2]uint64) {
	for i, seed := range h.seeds {
		fingerprint[i] = maphash.Bytes(seed, normalForm)
	}
	return fingerprint
}

// beginParts starts to hash a long normal form in parts.
func (h *fingerprintHasher) beginParts() {
	for i := range h.prefixHashes {
		h.prefixHashes[i].SetSeed(h.seeds[i]) // this also resets the hash
	}
}

// addPart hashes the next part of a long normal form.
func (h *fingerprintHasher) addPart(part []byte) {
	for i := range h.prefixHashes {
		_, _ = h.prefixHashes[i].Write(part) // Write never returns an error
	}
}

// sumParts returns the fingerprint of a normal form after all its parts have been added. The fingerprint is the
// same as if the normal form had been hashed at once.
func (h *fingerprintHasher) sumParts() (fingerprint [2]uint64) {
	for i := range h.prefixHashes {
		fingerprint[i] = h.prefixHashes[i].Sum64()
	}
	return fingerprint
}
