package lineclient

import (
	"strconv"
	"time"

	"flaxrelay/internal/lifecycle"
)

// The commands of the line protocol, each followed by the request's id.
const (
	commandExecute     = "want "
	commandCancel      = "never_mind "
	commandSetPriority = "hurry "
	commandFetchPage   = "turn "
	commandRelease     = "shut " // no more pages of the result will be fetched
)

const lineEnd = "\r\n"

// executeCommandSize is the usual size of an execute command without its statement, in bytes.
const executeCommandSize = 160

// executeCommand encodes an attempt's request, with the milliseconds until the attempt's timeout.
func executeCommand(attempt *lifecycle.Attempt, now time.Duration) []byte {
	request := attempt.Request
	statement, _ := request.Statement.(string)
	timeLeft := (attempt.StartedAt + attempt.Timeout - now).Milliseconds()
	b := make([]byte, 0, executeCommandSize+len(statement))
	b = append(b, commandExecute...)
	b = append(b, request.ID...)
	b = append(b, " kind="...)
	b = append(b, request.Class...)
	b = append(b, ",ms="...)
	b = strconv.AppendInt(b, max(timeLeft, 1), 10)
	if request.IdempotencyKey != "" {
		b = append(b, ",token="...)
		b = append(b, request.IdempotencyKey...)
	}
	if attempt.MemoryMB >= 1 {
		b = append(b, ",mb="...)
		b = strconv.AppendInt(b, int64(attempt.MemoryMB), 10)
	}
	b = append(b, ",nice="...)
	b = strconv.AppendInt(b, int64(attempt.Priority), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(statement)), 10)
	b = append(b, lineEnd...)
	b = append(b, statement...)
	return append(b, lineEnd...)
}

// cancelCommand encodes the cancellation of a request that may be running.
func cancelCommand(id string) []byte { return []byte(commandCancel + id + lineEnd) }

// releaseCommand encodes the release of a result: no more of its pages will be fetched.
func releaseCommand(id string) []byte { return []byte(commandRelease + id + lineEnd) }

// priorityCommand encodes a change of a request's priority.
func priorityCommand(id string, priority int) []byte {
	return []byte(commandSetPriority + id + " " + strconv.Itoa(priority) + lineEnd)
}

// fetchCommands encodes one command for each page after the first.
func fetchCommands(id string, pages int) []byte {
	var b []byte
	for page := 1; page < pages; page++ {
		b = append(b, commandFetchPage...)
		b = append(b, id...)
		b = append(b, ' ')
		b = strconv.AppendInt(b, int64(page), 10)
		b = append(b, lineEnd...)
	}
	return b
}
