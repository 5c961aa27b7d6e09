package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// cases has the function of each case. It returns the violations of the rule.
var cases = map[string]func(*rig) []string{
	"part-under-other-models": partUnderOtherModels,
	"part-far-back":           partFarBack,
	"sound-after-start":       soundAfterStart,
	"part-after-kills":        partAfterKills,
	"request-with-new-query":  requestWithNewQuery,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(statusFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// closeOnSignal ends the processes of the rig, and this one, when it is told to stop.
func (r *rig) closeOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	r.close()
	os.Exit(statusFailed)
}

// run plays one case and returns the exit status.
func run(play func(*rig) []string, folder string) (status int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer file.Close()
	r, err := newRig(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer r.close()
	go r.closeOnSignal()
	defer func() {
		if failure := recover(); failure != nil {
			r.record("could not run: %v", failure)
			fmt.Fprintln(os.Stderr, "could not run:", failure)
			status = statusFailed
		}
	}()
	violations := play(r)
	for _, v := range violations {
		r.record("BROKEN: %s", v)
		fmt.Println("BROKEN:", v)
	}
	if len(violations) > 0 {
		return statusBroken
	}
	r.record("the rule held")
	fmt.Println("the rule held")
	return statusHeld
}
