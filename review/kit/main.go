// Command reviewkit plays the cases of the review: `reviewkit CASE ROOT FOLDER`. It exits with 1 if the rule of the
// case was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit is the longest time of a case; the issue permits 120 s.
const timeLimit = 110 * time.Second

// environment is what each case gets.
type environment struct {
	ctx     context.Context
	root    string // of the repository
	dir     string // a temporary folder
	trouble bool
	rec     *record
}

var cases = map[string]func(*environment) (broken bool, err error){
	"operators":  operatorsCase,
	"secondcopy": secondCopyCase,
	"twice":      twiceCase,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit CASE ROOT FOLDER")
		return 2
	}
	signal.Ignore(syscall.SIGPIPE) // the reader of standard output may have ended
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	e := &environment{ctx: ctx, root: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	rec.add("case %s, disruption %v", os.Args[1], e.trouble)
	type result struct {
		broken bool
		err    error
	}
	played := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](e)
		played <- result{broken, err}
	}()
	var r result
	select {
	case r = <-played:
	case <-ctx.Done():
		r.err = fmt.Errorf("ended by a signal or after %v", timeLimit)
	}
	killAll()
	switch {
	case r.err != nil:
		rec.say("could not run: %v", r.err)
		return 2
	case r.broken:
		rec.say("the rule was BROKEN")
		return 1
	}
	rec.say("the rule held")
	return 0
}
