// Package crowdtest holds what tests of crowds of clients share.
package crowdtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// ShortLines returns header lines of about four bytes with different names, n bytes in all.
func ShortLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()[:n]
}

// PeakMemory returns the largest resident size that a process has had, in bytes.
func PeakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Error(err)
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err != nil {
				t.Error(err)
			}
			return kb << 10
		}
	}
	t.Error("no peak memory in /proc")
	return 0
}
