package processtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"dogwoodpond/internal/platformapi"
)

// network carries everything that leaves a failure domain, so that a test can
// cut it: each domain has a gateway to the platform, and the lists that come
// through it name relays for the addresses of other domains.
type network struct {
	t       testing.TB
	platURL string

	mu       sync.Mutex
	gateways map[string]string
	// relays are named by the domain that dials and the address dialled.
	relays map[string]string
	// cuts holds the pairs of places that can't reach each other.
	cuts map[pair]bool
	// healed is closed at each change of cuts.
	healed chan struct{}
	// open holds the connections of each pair.
	open map[pair]map[net.Conn]bool
}

// pair is a direction between two failure domains, or to the platform.
type pair struct{ from, to string }

const platformPlace = "platform"

func newNetwork(t testing.TB, platURL string) *network {
	return &network{
		t: t, platURL: platURL,
		gateways: make(map[string]string), relays: make(map[string]string),
		cuts: make(map[pair]bool), healed: make(chan struct{}),
		open: make(map[pair]map[net.Conn]bool),
	}
}

// gateway returns the platform's URL as a domain sees it.
func (n *network) gateway(domain string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if url, ok := n.gateways[domain]; ok {
		return url
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.forward(domain, w, r)
	}))
	n.t.Cleanup(server.CloseClientConnections)
	n.gateways[domain] = server.URL
	return server.URL
}

// cut makes two places lose each other in both directions; packets vanish.
func (n *network) cut(a, b string) { n.change(a, b, true) }

// heal ends a cut.
func (n *network) heal(a, b string) { n.change(a, b, false) }

func (n *network) change(a, b string, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []pair{{a, b}, {b, a}} {
		n.cuts[p] = isCut
		for conn := range n.open[p] {
			_ = conn.Close()
		}
	}
	close(n.healed)
	n.healed = make(chan struct{})
}

func (n *network) isCut(p pair) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[p], n.healed
}

// forward passes a call to the platform, or holds it while the link is cut.
func (n *network) forward(domain string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for {
		isCut, healed := n.isCut(pair{domain, platformPlace})
		if !isCut {
			break
		}
		select {
		case <-healed:
		case <-r.Context().Done():
			return
		}
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, n.platURL+r.URL.EscapedPath(), bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(n.rewrite(domain, r.URL.Path, answer))
}

// rewrite replaces the addresses of other domains by relays.
func (n *network) rewrite(domain, path string, answer []byte) []byte {
	var changed any
	switch path {
	case platformapi.PathVMs:
		var vms []platformapi.VM
		if json.Unmarshal(answer, &vms) != nil {
			return answer
		}
		for i, v := range vms {
			vms[i].PeerAddress = n.relay(pair{domain, v.FailureDomain}, v.PeerAddress)
		}
		changed = vms
	case platformapi.PathUpstreams:
		var upstreams []platformapi.Upstream
		if json.Unmarshal(answer, &upstreams) != nil {
			return answer
		}
		for i, u := range upstreams {
			upstreams[i].Address = n.relay(pair{domain, u.FailureDomain}, u.Address)
		}
		changed = upstreams
	default:
		return answer
	}
	text, err := json.Marshal(changed)
	if err != nil {
		return answer
	}
	return text
}

// relay returns an address that leads to target for as long as the pair is not
// cut. Within a domain it is target itself.
func (n *network) relay(p pair, target string) string {
	if p.from == p.to || target == "" {
		return target
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	name := p.from + ">" + target
	if at, ok := n.relays[name]; ok {
		return at
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return target
	}
	n.t.Cleanup(func() { _ = listener.Close() })
	go n.accept(p, target, listener)
	n.relays[name] = listener.Addr().String()
	return n.relays[name]
}

func (n *network) accept(p pair, target string, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if isCut, _ := n.isCut(p); isCut {
			_ = conn.Close()
			continue
		}
		go n.join(p, conn, target)
	}
}

// join copies both ways until one end closes.
func (n *network) join(p pair, near net.Conn, target string) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	n.track(p, near, true)
	defer n.track(p, near, false)
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pipe(far, near)
	go pipe(near, far)
	<-done
}

func (n *network) track(p pair, conn net.Conn, isOpen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !isOpen {
		delete(n.open[p], conn)
		return
	}
	if n.open[p] == nil {
		n.open[p] = make(map[net.Conn]bool)
	}
	n.open[p][conn] = true
}
