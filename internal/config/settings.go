package config

import (
	"encoding/json"
	"math"
	"time"

	"flaxrelay/policy"
)

// Settings contains the settings of a deployment: those of package policy, and those that other
// packages need.
type Settings struct {
	Policy            policy.Settings
	LoadFields        []string      // names of the values in a load report, in order
	Zones             []string      // names of zones; records of the event bus contain their indexes
	Kinds             []string      // names of kinds; records of the event bus contain their indexes
	MaxStreams        int           // maximum number of attempts in flight on one connection to an engine
	ConnectTimeout    time.Duration // limit on the time to establish a connection to an engine
	EngineIdleTimeout time.Duration // idle time after which engines close a connection
}

// UnmarshalJSON decodes the settings object, which is part of the platform's configuration and of the
// message INIT of the simulator's protocol.
func (s *Settings) UnmarshalJSON(raw []byte) error {
	var object settingsObject
	if err := json.Unmarshal(raw, &object); err != nil {
		return err //nolint:wrapcheck // jsonFieldError converts the error
	}
	settings, err := object.policySettings()
	if err != nil {
		return err
	}
	*s = Settings{
		Policy:            settings,
		LoadFields:        object.LoadReport.Names,
		Zones:             object.Zones,
		Kinds:             object.Kinds,
		MaxStreams:        object.Limits.MaxStreams,
		ConnectTimeout:    FromMilliseconds(object.Limits.ConnectTimeoutMS),
		EngineIdleTimeout: FromMilliseconds(object.Limits.IdleCloseMS),
	}
	return nil
}

// CheckSettings validates a file that contains only the settings object. The returned error
// contains all errors in the file (see FieldErrorsOf).
func CheckSettings(path string, raw []byte) error {
	v := &validator{file: path}
	var settings Settings
	if !decodeSettings(v, raw, &settings) {
		return v.err()
	}
	v.require(len(settings.Policy.Classes) > 0, "classes", noClassesText)
	return v.err()
}

// FromMilliseconds converts fractional milliseconds to a duration, rounded to the microsecond.
func FromMilliseconds(ms float64) time.Duration {
	const microsecondsPerMS = 1000
	return time.Duration(math.Round(ms*microsecondsPerMS)) * time.Microsecond
}
