package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/fault"
)

// startSlowGenerate starts a generate call with the key; see startSlowCall.
func startSlowGenerate(t *testing.T, h *harness, key string) net.Conn {
	t.Helper()
	return startSlowCall(t, h, "/v1/generate", key)
}

// startSlowCall starts a call that announces a body of 100 bytes and sends one.
func startSlowCall(t *testing.T, h *harness, path, key string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.serve(), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", path, key)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// openCallCount returns the server's count of the open calls of an account.
func openCallCount(h *harness, account contract.Account) int64 {
	release, err := h.server.open.acquire(contract.Contract{Account: account, Limits: contract.Limits{Open: 1 << 30}})
	if err != nil {
		h.t.Fatal(err)
	}
	defer release()
	value, _ := h.server.open.counts.Load(account)
	return value.(interface{ Load() int64 }).Load() - 1
}

// An account opens many calls and sends their bodies slowly. Each call holds a
// connection and memory of the VM, so without a limit the VM could no longer
// serve other accounts.
func TestOpenCallsOfAnAccountAreLimited(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c := h.view.Load().Contracts[testAccount]
	c.Limits.Open = 2
	h.edit(contract.Entry{Kind: contract.EditContract, Contract: &c})
	first := startSlowGenerate(t, h, testKey)
	startSlowGenerate(t, h, testKey)
	eventually(t, func() bool { return openCallCount(h, testAccount) == 2 })

	third := startSlowGenerate(t, h, testKey)
	if err := third.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(third), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	want := fmt.Sprintf(`"code":%q`, fault.CodeLimitExceeded)
	if response.StatusCode != http.StatusTooManyRequests || !strings.Contains(strings.ReplaceAll(string(body), " ", ""), want) {
		t.Errorf("the third call got %d %s", response.StatusCode, body)
	}
	if response.Header.Get("Retry-After") == "" {
		t.Error("the refusal has no Retry-After header")
	}
	startSlowGenerate(t, h, otherKey)
	eventually(t, func() bool { return openCallCount(h, h.view.Load().Keys["k2"].Account) == 1 })
	_ = first.Close()
	eventually(t, func() bool { return openCallCount(h, testAccount) == 1 })
}

// A caller sends its body slowly, and its request is refused because of its
// header. If the refusal waited for the rest of the body, the caller would
// receive it late.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	cases := []struct {
		name, path, key string
		status          int
	}{
		{name: "bad key", path: "/v1/generate", key: "dwp_k1_not-the-secret-of-anyone", status: http.StatusUnauthorized},
		{name: "unknown route", path: "/v1/nothing", key: testKey, status: http.StatusNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn := startSlowCall(t, h, c.path, c.key)
			if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			_ = response.Body.Close()
			if response.StatusCode != c.status {
				t.Errorf("got %d, want %d", response.StatusCode, c.status)
			}
		})
	}
}

// eventually waits until holds returns true, at most one minute.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatal("timed out")
		}
		time.Sleep(time.Millisecond)
	}
}
