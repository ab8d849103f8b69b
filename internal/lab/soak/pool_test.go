package soak

import (
	"fmt"
	"slices"
	"testing"
)

// A fault claims a member that no other fault has claimed, and a reserve of members is never claimed.
func TestPool_ClaimsFreeMembersAndKeepsAReserve(t *testing.T) {
	frontEnds := newPool[string](frontEndReserveDivisor)
	engines := newPool[string](engineReserveDivisor)
	for i := range 6 {
		frontEnds.add(fmt.Sprintf("n%d", i))
		engines.add(fmt.Sprintf("s-%08x", i))
	}
	random := seeded(3)
	claim := func(p *pool[string]) string {
		if member, ok := p.claim(random); ok {
			return member
		}
		return "none"
	}
	var got []string
	for range 4 {
		got = append(got, claim(frontEnds))
	}
	for range 5 {
		got = append(got, claim(engines))
	}
	for _, member := range frontEnds.all() {
		frontEnds.release(member)
	}
	for _, member := range engines.all() {
		engines.release(member)
	}
	got = append(got, claim(frontEnds), claim(engines))
	want := []string{
		"n1", "n3", "n4", "none",
		"s-00000003", "s-00000004", "s-00000001", "s-00000005", "none",
		"n2", "s-00000005",
	}
	if !slices.Equal(got, want) {
		t.Errorf("claimed %q, want %q", got, want)
	}
}

// A successor takes the position of the member that it replaces, and can be claimed.
func TestPool_ReplacesAClaimedMember(t *testing.T) {
	p := newPool[string](engineReserveDivisor)
	for _, member := range []string{"a", "b", "c"} {
		p.add(member)
	}
	claimed, _ := p.claim(seeded(1))
	p.replace(claimed, "d")
	want := []string{"a", "b", "c"}
	want[slices.Index(want, claimed)] = "d"
	if got := p.all(); !slices.Equal(got, want) {
		t.Errorf("the members are %q, want %q", got, want)
	}
	for range 2 {
		if _, ok := p.claim(seeded(1)); !ok {
			t.Error("the successor counts as claimed")
		}
	}
}
