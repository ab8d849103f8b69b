package sqltext

import "hash/maphash"

// fingerprintHasher computes the fingerprints of normal forms by two hashes with different seeds. It may
// be used by one goroutine at a time.
type fingerprintHasher struct {
	seeds        [2]maphash.Seed
	prefixHashes [2]maphash.Hash // of the parts of a long normal form that were hashed before its end
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

// ofBytes does the same for bytes.
func (h *fingerprintHasher) ofBytes(normalForm []byte) (fingerprint [2]uint64) {
	for i, seed := range h.seeds {
		fingerprint[i] = maphash.Bytes(seed, normalForm)
	}
	return fingerprint
}

// beginParts begins a long normal form, which is hashed in parts.
func (h *fingerprintHasher) beginParts() {
	for i := range h.prefixHashes {
		h.prefixHashes[i].SetSeed(h.seeds[i]) // this also resets the hash
	}
}

// addPart hashes the next part of a long normal form.
func (h *fingerprintHasher) addPart(part []byte) {
	for i := range h.prefixHashes {
		_, _ = h.prefixHashes[i].Write(part) // it never fails
	}
}

// sumParts returns the fingerprint of a normal form whose parts were all added. It equals that
// of the same normal form hashed at once.
func (h *fingerprintHasher) sumParts() (fingerprint [2]uint64) {
	for i := range h.prefixHashes {
		fingerprint[i] = h.prefixHashes[i].Sum64()
	}
	return fingerprint
}
