package node

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"dogwoodpond/internal/event"
)

// settingsPeriod is the period of looking whether the settings file has changed
// without a signal. A look reads a file of some 2 KB.
const settingsPeriod = 2 * time.Second

// watchSettings reads the settings again on SIGHUP, which would otherwise end the
// process with all its requests, and when the file changes without a signal.
func (n *Node) watchSettings(ctx context.Context) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
			n.reload(true)
		case <-ticker.C:
			n.reload(false)
		}
	}
}

// reload puts changed settings in force. Without a signal an unchanged or
// unreadable file is not worth a line: the platform may be writing it.
func (n *Node) reload(signalled bool) {
	changed, restart, err := n.Reload()
	switch {
	case err != nil && signalled:
		n.Events.Emit(event.SettingsRejected, event.Subject{Detail: err.Error()})
	case err == nil && (signalled || len(changed)+len(restart) > 0):
		n.Events.Emit(event.SettingsReloaded, event.Subject{Detail: describe(changed, restart)})
	}
}

func describe(changed, restart []string) string {
	text := "in force: " + strings.Join(changed, ", ")
	if len(changed) == 0 {
		text = "nothing to put in force"
	}
	if len(restart) > 0 {
		text += "; with the next start: " + strings.Join(restart, ", ")
	}
	return text
}
