// Command standin2 has the stand-ins and the clients of the cases 4 to 8 of the review. Its argument names
// the case. The variable ROOT holds the root of the repository, RECORD the file for the record.
package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) != 2 || os.Getenv("ROOT") == "" {
		cannotRun("a case and ROOT are needed")
	}
	if path := os.Getenv("RECORD"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			cannotRun("%v", err)
		}
		recordFile = file
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		cannotRun("stopped")
	}()
	time.AfterFunc(112*time.Second, func() { cannotRun("took too long") })
	run, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no case %s", os.Args[1])
	}
	record("case %s, trouble %v", os.Args[1], trouble())
	run()
}

var cases = map[string]func(){"added-route": addedRoute, "restart-loop": restartLoop, "read-bodies": readBodies, "stalled-step": stalledStep, "extra-answers": extraAnswers}
