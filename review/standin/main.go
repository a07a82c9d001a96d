// Command standin plays one case of the review: it starts processes of the system, with stand-ins for the
// platform, servers and clients around them, and judges what the clients and servers saw. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

var cases = map[string]func(*world) int{
	"sigterm":   caseSigterm,
	"stream":    caseStream,
	"duplicate": caseDuplicate,
	"held":      caseHeld,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER; TROUBLE=0 leaves the disruption out")
		os.Exit(2)
	}
	w := newWorld(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	time.AfterFunc(maxDuration, func() { w.cannotRun("it takes too long") })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { w.cannotRun("it got the signal %v", <-interrupted) }()
	status := cases[os.Args[1]](w)
	w.logf("status %d", status)
	w.close()
	os.Exit(status)
}
