package lineclient

import "hash/maphash"

// maxUsedIDs is the number of requests after which a connection accepts no more; it is closed once they have ended. It
// limits the memory of usedIDs to some 40 KB for each connection, whatever ids clients choose.
const maxUsedIDs = 2048

// usedIDs are the ids of all requests that were written on one connection. None of them is written on it again, even
// long after the request has ended: a response contains only the id, so a duplicate, a late response or a late page of
// the earlier request would be taken for the response to the later one.
//
// Only a hash of each id is stored. An id whose hash equals that of another one counts as used too. Its request is then
// written on another connection. The seed of the hash is random, so that clients can't choose such ids.
type usedIDs struct {
	seed   maphash.Seed
	hashes map[uint32]struct{}
}

func newUsedIDs() usedIDs {
	return usedIDs{seed: maphash.MakeSeed(), hashes: map[uint32]struct{}{}}
}

func (u *usedIDs) hash(id string) uint32 { return uint32(maphash.String(u.seed, id)) }

func (u *usedIDs) add(id string) { u.hashes[u.hash(id)] = struct{}{} }

// has reports whether the id was added.
func (u *usedIDs) has(id string) bool {
	_, used := u.hashes[u.hash(id)]
	return used
}

// full reports whether no further id may be added.
func (u *usedIDs) full() bool { return len(u.hashes) >= maxUsedIDs }
