package processtest

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodpond/internal/ingress/crowdtest"
)

// crowdMemory is the memory of the smallest VM that runs the product's own interface, in bytes.
const crowdMemory = 256 << 20

// Guards against a daemon that exceeds its memory, ends, or leaves ordinary callers without an answer because of
// clients with large heads.
func TestCrowdAtOwnInterface(t *testing.T) {
	const headBytes, clients, writeTimeout = 60 << 10, 600, 2 * time.Second
	start := "GET /v1/nothing HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		address func(v *vm) string
		text    string
	}{
		"callers: short header lines":   {func(v *vm) string { return v.callerAddress }, start + crowdtest.ShortLines(headBytes)},
		"operators: short header lines": {func(v *vm) string { return v.operatorAddress }, start + crowdtest.ShortLines(headBytes)},
		"peers: part of a long message": {func(v *vm) string { return v.peerAddress }, "\x01\x01\x01\xff\xff\xff\x01" + strings.Repeat("a", 2<<20)},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, topology{domains: []string{"a"}, vms: 1, engines: 1, services: 1})
			key, v := f.grant(testContract("strathallan")), f.vms[0]
			var sending sync.WaitGroup
			for range clients {
				conn, err := net.DialTimeout("tcp", c.address(v), writeTimeout)
				if err != nil {
					continue
				}
				t.Cleanup(func() { _ = conn.Close() })
				_ = conn.SetDeadline(time.Now().Add(writeTimeout))
				sending.Go(func() { _, _ = io.WriteString(conn, c.text) })
			}
			sending.Wait()
			time.Sleep(time.Second)
			if status, text := f.charge(v, key, "tree", "deposit"); status != http.StatusOK {
				t.Errorf("an ordinary caller got status %d, %s", status, text)
			}
			select {
			case <-v.exited:
				t.Errorf("the process ended: %v", v.err)
			default:
				if peak := crowdtest.PeakMemory(t, v.cmd.Process.Pid); peak > crowdMemory {
					t.Errorf("peak memory %d MB of %d MB", peak>>20, int64(crowdMemory)>>20)
				} else {
					t.Logf("peak memory %d MB", peak>>20)
				}
			}
		})
	}
}
