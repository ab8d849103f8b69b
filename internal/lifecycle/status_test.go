package lifecycle

import (
	"testing"

	"flaxrelay/policy"
)

func TestAttemptStatus_NameAndResult(t *testing.T) {
	tests := []struct {
		status AttemptStatus
		name   string
		result policy.Result
	}{
		{StatusUnknown, "unknown", policy.ResultUnknown},
		{StatusServed, "served", policy.ResultServed},
		{StatusStatementRejected, "statement-rejected", policy.ResultNotSent},
		{StatusResultTooLarge, "result-too-large", policy.ResultServed},
		{StatusEngineError, "engine-error", policy.ResultFailed},
		{StatusOverloaded, "overloaded", policy.ResultOverloaded},
		{StatusDeadlinePassed, "deadline-passed", policy.ResultNotSent},
		{StatusPagesLost, "pages-lost", policy.ResultFailed},
		{StatusTimeout, "timeout", policy.ResultTimedOut},
		{StatusConnectionRefused, "connection-refused", policy.ResultConnectFailed},
		{StatusConnectTimeout, "connect-timeout", policy.ResultConnectFailed},
		{StatusNoDescriptor, "no-descriptor", policy.ResultNotSent},
		{StatusLocalFailure, "local-failure", policy.ResultNotSent},
		{StatusUnknownEngine, "unknown-engine", policy.ResultConnectFailed},
		{StatusConnectionReset, "connection-reset", policy.ResultConnectionLost},
		{StatusProtocolError, "protocol-error", policy.ResultUnknown},
		{StatusCancelled, "cancelled", policy.ResultCancelled},
		{StatusNotSent, "not-sent", policy.ResultNotSent},
		{StatusIdleClosed, "idle-closed", policy.ResultUnknown},
	}
	if len(tests) != int(statusCount) {
		t.Errorf("%d of %d statuses are tested", len(tests), statusCount)
	}
	for _, tc := range tests {
		if got := tc.status.String(); got != tc.name {
			t.Errorf("name of status %d is %q, want %q", tc.status, got, tc.name)
		}
		if got := tc.status.Result(); got != tc.result {
			t.Errorf("result of %v is %d, want %d", tc.status, got, tc.result)
		}
	}
	if got := statusCount.String(); got != "unknown" {
		t.Errorf("name of an undefined status is %q, want unknown", got)
	}
}
