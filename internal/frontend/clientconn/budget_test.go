package clientconn

import "testing"

func TestBudget_RefusesWhatExceedsItsLimit(t *testing.T) {
	var budget Budget
	budget.SetLimit(10)
	if !budget.TryReserve(6) || !budget.TryReserve(4) {
		t.Fatal("a reservation up to the limit was refused")
	}
	if budget.TryReserve(1) {
		t.Error("a reservation past the limit was taken")
	}
	budget.Release(4)
	if !budget.TryReserve(4) {
		t.Error("released bytes cannot be reserved again")
	}
	budget.SetLimit(5)
	if budget.TryReserve(0) {
		t.Error("a reservation was taken while more than the new limit is reserved")
	}
}
