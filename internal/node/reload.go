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

// settingsPollInterval is the interval between checks for a settings file that changed
// without a signal. Each check reads a file of about 2 KB.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file changes without a signal.
// An unhandled SIGHUP would end the process and break its open requests.
func (n *Node) watchSettings(ctx context.Context) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	ticker := time.NewTicker(settingsPollInterval)
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

// reload applies changed settings. Without a signal, it emits no event for an unchanged
// file, nor for an unreadable one, which the platform may be writing.
func (n *Node) reload(signalled bool) {
	changed, restart, err := n.Reload()
	switch {
	case err != nil && signalled:
		n.Events.Emit(event.SettingsRejected, event.Subject{Detail: err.Error()})
	case err == nil && (signalled || len(changed)+len(restart) > 0):
		n.Events.Emit(event.SettingsReloaded, event.Subject{Detail: describe(changed, restart)})
	}
}

// describe returns the detail of event.SettingsReloaded.
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
