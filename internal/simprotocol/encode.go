package simprotocol

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"flaxrelay/policy"
)

// Arguments of strconv.
const (
	decimal   = 10 // base of integers
	shortest  = -1 // precision: as few digits as the exact value needs
	floatBits = 64
)

// outputLine is the output while its last message is incomplete. Each method except end appends one field.
type outputLine []byte

// beginLine appends the start of a message of an instance to the output.
func beginLine(output []byte, name messageName, instanceID int64) outputLine {
	output = append(output, `["`...)
	output = append(output, name...)
	output = append(output, `",`...)
	return strconv.AppendInt(output, instanceID, decimal)
}

func (l outputLine) unsigned(value uint64) outputLine {
	return strconv.AppendUint(append(l, ','), value, decimal)
}

func (l outputLine) integer(value int64) outputLine {
	return strconv.AppendInt(append(l, ','), value, decimal)
}

func (l outputLine) float(value float64) outputLine {
	return strconv.AppendFloat(append(l, ','), value, 'f', shortest, floatBits)
}

// milliseconds appends a duration as fractional milliseconds.
func (l outputLine) milliseconds(duration time.Duration) outputLine {
	return l.float(float64(duration) / float64(time.Millisecond))
}

func (l outputLine) flag(value bool) outputLine {
	return strconv.AppendBool(append(l, ','), value)
}

func (l outputLine) text(value string) outputLine {
	encoded, err := json.Marshal(value)
	if err != nil { // a string can always be encoded
		panic(err)
	}
	return append(append(l, ','), encoded...)
}

// end completes the message and returns the output.
func (l outputLine) end() []byte { return append(l, "]\n"...) }

// encodeAction appends the message for an action of an instance to the output.
func encodeAction(output []byte, instanceID int64, action policy.Action) []byte {
	switch action := action.(type) {
	case policy.StartAttempt:
		line := beginLine(output, messageStartAttempt, instanceID)
		return line.unsigned(action.RequestID).text(action.Engine).milliseconds(action.Timeout).end()
	case policy.SetResources:
		line := beginLine(output, messageSetResources, instanceID)
		return line.unsigned(action.RequestID).float(action.MemoryMB).integer(int64(action.Priority)).end()
	case policy.CancelAttempt:
		line := beginLine(output, messageCancelAttempt, instanceID)
		return line.unsigned(action.RequestID).integer(int64(action.Attempt)).end()
	case policy.CheckHealth:
		return beginLine(output, messageCheckHealth, instanceID).text(action.Engine).end()
	case policy.Reject:
		line := beginLine(output, messageReject, instanceID)
		return line.unsigned(action.RequestID).milliseconds(action.RetryAfter).end()
	case policy.Fail:
		return beginLine(output, messageFail, instanceID).unsigned(action.RequestID).end()
	case policy.SetTimer:
		return beginLine(output, messageSetTimer, instanceID).milliseconds(action.After).unsigned(action.Token).end()
	case policy.Subscribe:
		return beginLine(output, messageSubscribe, instanceID).flag(true).end()
	case policy.ReportOverload: // the simulator counts overloads itself
		return output
	case policy.EngineEjected:
		return beginLine(output, messageLog, instanceID).text(ejectionText(action)).end()
	case policy.EngineReadmitted:
		return beginLine(output, messageLog, instanceID).text("engine " + action.Engine + " serves again").end()
	}
	panic(fmt.Sprintf("simprotocol: no message for action %T", action))
}

// ejectionTexts are the texts in SAY_LOG for the reasons of an ejection.
var ejectionTexts = map[policy.EjectionReason]string{
	policy.EjectedSilent:           "all attempts are silent",
	policy.EjectedErrors:           "it answers with errors",
	policy.EjectedConnectionFaults: "connections fail",
	policy.EjectedOverdue:          "answers stay out",
}

func ejectionText(ejected policy.EngineEjected) string {
	reason := ejectionTexts[ejected.Reason]
	return fmt.Sprintf("engine %s suspect: %s; %d attempts out", ejected.Engine, reason, ejected.InFlight)
}

// encodeBatchDone appends the message that ends the host's response to a batch.
func encodeBatchDone(output []byte, batch int64) []byte {
	return beginLine(output, messageBatchDone, batch).end()
}
