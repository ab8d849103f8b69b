package config

import (
	"encoding/json"
	"math"
	"time"

	"flaxrelay/policy"
)

// Settings holds one deployment's settings: those of the policy module, and those that only
// the packages around it need.
type Settings struct {
	Policy           policy.Settings
	LoadFields       []string // names of the load report's values, in order
	Zones            []string // names by index
	Kinds            []string
	MaxStreams       int           // attempts in flight on one connection
	ConnectTimeout   time.Duration // a connection not established by then has failed
	IdleClose        time.Duration // engines close connections that are idle for so long
	ProgressInterval time.Duration
}

// UnmarshalJSON reads the settings object, as the platform's configuration and the
// simulator's first message hold it.
func (s *Settings) UnmarshalJSON(raw []byte) error {
	var object settingsObject
	if err := json.Unmarshal(raw, &object); err != nil {
		return err
	}
	settings, err := object.policySettings()
	if err != nil {
		return err
	}
	*s = Settings{
		Policy:           settings,
		LoadFields:       object.LoadReport.Names,
		Zones:            object.Zones,
		Kinds:            object.Kinds,
		MaxStreams:       object.Limits.MaxStreams,
		ConnectTimeout:   FromMilliseconds(object.Limits.ConnectTimeoutMS),
		IdleClose:        FromMilliseconds(object.Limits.IdleCloseMS),
		ProgressInterval: settings.ProgressInterval,
	}
	return nil
}

// CheckSettings reports what is wrong with a file that holds the settings object alone.
func CheckSettings(path string, raw []byte) error {
	v := &validator{file: path}
	var settings Settings
	if !decodeSettings(v, raw, &settings) {
		return v.err()
	}
	v.require(len(settings.Policy.Classes) > 0, "classes", "none")
	return v.err()
}

// FromMilliseconds turns fractional milliseconds, exact to the microsecond, into a duration.
func FromMilliseconds(ms float64) time.Duration {
	const microsecondsPerMS = 1000
	return time.Duration(math.Round(ms*microsecondsPerMS)) * time.Microsecond
}
