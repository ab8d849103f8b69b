package memorybudget

import "testing"

func TestBudget_RejectsReservationsPastItsLimit(t *testing.T) {
	budget := New(10)
	if !budget.TryReserve(6) || !budget.TryReserve(4) {
		t.Fatal("a reservation up to the limit was rejected")
	}
	if budget.TryReserve(1) {
		t.Error("a reservation past the limit succeeded")
	}
	budget.Release(4)
	if !budget.TryReserve(4) {
		t.Error("released bytes cannot be reserved again")
	}
	budget.SetLimit(5)
	if budget.TryReserve(0) {
		t.Error("a reservation succeeded while more than the new limit is reserved")
	}
}
