package soak

import (
	"slices"
	"testing"
)

// The first random numbers of the run's seed determine the settings that vary from run to run.
func TestDrawRunSettings_FollowsFromTheSeed(t *testing.T) {
	var got []runSettings
	for seed := range uint64(4) {
		got = append(got, drawRunSettings(seeded(seed)))
	}
	want := []runSettings{
		{cancel: true, retryAfter: true, deduplicationWindow: 2717 * ms},
		{cancel: true, retryAfter: true, deduplicationWindow: 5318 * ms},
		{cancel: false, retryAfter: true, deduplicationWindow: 4080 * ms},
		{cancel: false, retryAfter: false, deduplicationWindow: 1055 * ms},
	}
	if !slices.Equal(got, want) {
		t.Errorf("the settings are %+v, want %+v", got, want)
	}
}
